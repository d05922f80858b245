"""The filter that answers requests about programs themselves."""

import json
from collections.abc import Callable
from typing import Any

from attrs import evolve

from eelgrasslock.configuration.settings import Configuration
from eelgrasslock.exceptions import Refusal
from eelgrasslock.log.record_codec import to_jsonable
from eelgrasslock.programs.controller import ProgramController
from eelgrasslock.programs.journal_records import ProgramLimits
from eelgrasslock.requests.exchange import SECRET_HEADER, Exchange, Proceed, RequestKind

_ENDED_BY_CALLER = "finished"


class ProgramFilter:
    """Creates, shows, resumes and ends programs; lets model calls pass.

    Parameters
    ----------
    programs : ProgramController
        The programs of this daemon's failure domain.
    configuration : callable
        Returns the configuration in force.
    """

    name = "program"

    def __init__(
        self, programs: ProgramController, configuration: Callable[[], Configuration]
    ) -> None:
        self.programs = programs
        self.configuration = configuration
        self._steps = {
            RequestKind.MODELS_READ: self._models,
            RequestKind.PROGRAM_CREATE: self._create,
            RequestKind.PROGRAM_READ: self._read,
            RequestKind.PROGRAM_END: self._end,
            RequestKind.PROGRAM_RESUME: self._resume,
            RequestKind.PROGRAM_EXPLAIN: self._explain,
        }

    async def handle(self, exchange: Exchange, proceed: Proceed) -> None:
        """Answer a request about a program, or go on.

        Raises
        ------
        Refusal
            If the program is unknown or the secret is wrong.
        """
        step = self._steps.get(exchange.kind) if exchange.kind else None
        if step is None:
            await proceed(exchange)
            return
        body = json.dumps(await step(exchange)).encode()
        headers = {
            "Content-Type": "application/json",
            "Content-Length": str(len(body)),
        }
        exchange.started = True
        await exchange.responder.start(200, headers)
        await exchange.responder.write(body)
        await exchange.responder.finish()

    async def _models(self, exchange: Exchange) -> dict[str, Any]:
        configuration = self.configuration()
        names = sorted([*configuration.models, *configuration.aliases])
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": "eelgrasslock"}
            for name in names
        ]
        return {"object": "list", "data": models}

    async def _create(self, exchange: Exchange) -> dict[str, Any]:
        body = exchange.body
        parent = exchange.program
        secret = _text(body, "secret")
        if parent:
            await self._authorize(exchange)
        created = await self.programs.create(
            _text(body, "creation_key"), secret, self._limits(body), parent
        )
        return {
            "program": created.program,
            "secret": created.secret,
            "limits": to_jsonable(created.limits),
            "next_turn": created.turn,
            "digest": created.digest,
        }

    async def _read(self, exchange: Exchange) -> dict[str, Any]:
        await self._authorize(exchange)
        explained = to_jsonable(self.programs.explain(exchange.program))
        explained.pop("turns", None)
        return explained

    async def _end(self, exchange: Exchange) -> dict[str, Any]:
        await self._authorize(exchange)
        await self.programs.end(exchange.program, _ENDED_BY_CALLER)
        return {"program": exchange.program, "ended": _ENDED_BY_CALLER}

    async def _resume(self, exchange: Exchange) -> dict[str, Any]:
        await self._authorize(exchange)
        resumed = await self.programs.resume(exchange.program)
        return {
            "program": resumed.program,
            "next_turn": resumed.turn,
            "digest": resumed.digest,
            "messages": resumed.history,
            "limits": to_jsonable(resumed.limits),
            "spent_tokens": resumed.spent_tokens,
        }

    async def _explain(self, exchange: Exchange) -> dict[str, Any]:
        await self._authorize(exchange)
        return to_jsonable(self.programs.explain(exchange.program))

    async def _authorize(self, exchange: Exchange) -> None:
        secret = exchange.request.header(SECRET_HEADER)
        await self.programs.authorize(exchange.program, secret)

    def _limits(self, body: dict[str, Any]) -> ProgramLimits | None:
        asked = body.get("limits")
        if asked is None:
            return None
        if not isinstance(asked, dict):
            raise _invalid("limits: an object is required.")
        most = self.configuration().limits.program
        changes: dict[str, Any] = {
            name: _limit(name, value, getattr(most, name, None))
            for name, value in asked.items()
        }
        return evolve(most, **changes)


def _limit(name: str, value: Any, most: float | None) -> float:
    if most is None:
        raise _invalid(f"limits.{name}: there is no such limit.")
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not 0 < value <= most:
        raise _invalid(f"limits.{name}: a number above 0, at most {most}, is required.")
    if isinstance(most, int) and not isinstance(value, int):
        raise _invalid(f"limits.{name}: a whole number is required.")
    return value


def _text(body: dict[str, Any], name: str) -> str:
    value = body.get(name) or ""
    if not isinstance(value, str):
        raise _invalid(f"{name}: a string is required.")
    return value


def _invalid(sentence: str) -> Refusal:
    return Refusal("invalid_request", sentence, 400)
