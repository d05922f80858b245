"""The filter that lets a non-idempotent request run at most once."""

import asyncio
import hashlib
from collections.abc import Callable, Coroutine
from typing import Any

from loguru import logger

from eelgrasslock.actions.action_guard import (
    MAX_RECORDED_BODY_BYTES,
    ActionGuard,
    SendPermit,
)
from eelgrasslock.actions.action_records import ActionOutcome, ActionResult
from eelgrasslock.actions.action_sweep import ACTION_RETENTION_SECONDS
from eelgrasslock.clock import Clock
from eelgrasslock.configuration.settings import ServiceSettings
from eelgrasslock.exceptions import Ran, Refusal
from eelgrasslock.requests.exchange import (
    ACTION_HEADER,
    ISSUED_AT_HEADER,
    Exchange,
    Proceed,
    RequestKind,
    Responder,
)
from eelgrasslock.requests.plain_methods import is_idempotent

_REPLAYED_HEADER = "Eelgrass-Replayed"
_ACTION_ID_CHARS = 200
_ANY_BYTES = "surrogateescape"
_BAD_REQUEST = 400
_GONE = 410

log = logger.bind(part="actions")


class ActionFilter:
    """Guards the requests that the settings don't call idempotent.

    Each needs an action id of its caller's choosing. Without one a repeat
    can't be told from a new action, so such a request is refused unrun.

    Parameters
    ----------
    actions : ActionGuard
        The guard.
    service : callable
        Returns a service's settings, None if there is no such service.
    clock : Clock
        The source of time.
    """

    name = "action"

    def __init__(
        self,
        actions: ActionGuard,
        service: Callable[[str], ServiceSettings | None],
        clock: Clock,
    ) -> None:
        self.actions = actions
        self.service = service
        self.clock = clock

    async def handle(self, exchange: Exchange, proceed: Proceed) -> None:
        """Run the request once, or answer what became of it."""
        if exchange.kind is not RequestKind.PLAIN or self._is_idempotent(exchange):
            await proceed(exchange)
            return
        action = _action_id(exchange)
        self._check_age(exchange, action)
        got = await self.actions.acquire_permit(
            exchange.service, action, request_digest(exchange), exchange.program
        )
        if isinstance(got, ActionOutcome):
            await _replay(exchange, got)
            return
        await self._run(got, exchange, proceed)

    def _is_idempotent(self, exchange: Exchange) -> bool:
        settings = self.service(exchange.service)
        if settings is None:
            return False
        return is_idempotent(settings, exchange.request.method, exchange.rest)

    def _check_age(self, exchange: Exchange, action: str) -> None:
        """Refuse an action that may be older than what is remembered."""
        issued = exchange.request.header(ISSUED_AT_HEADER)
        if not issued or self.actions.find(exchange.service, action) is not None:
            return
        try:
            age = self.clock.now() - float(issued)
        except ValueError as error:
            raise Refusal(
                "bad_issue_time",
                f"{ISSUED_AT_HEADER} is not a number of seconds.",
                _BAD_REQUEST,
            ) from error
        if age > ACTION_RETENTION_SECONDS:
            raise Refusal(
                "action_too_old",
                "The action is older than what is remembered.",
                _GONE,
                Ran.UNKNOWN,
            )

    async def _run(
        self, permit: SendPermit, exchange: Exchange, proceed: Proceed
    ) -> None:
        """Run the request to its end, also when its caller has gone.

        What became of it is then known to whoever asks next.
        """
        task = self.actions.run_in_background(
            self._run_whole(permit, exchange, proceed)
        )
        try:
            await asyncio.shield(task)
        except asyncio.CancelledError:
            if exchange.sent is False:
                task.cancel()
            raise

    async def _run_whole(
        self, permit: SendPermit, exchange: Exchange, proceed: Proceed
    ) -> None:
        responder = exchange.responder
        recorder = _Recorder(responder, self.actions, permit)
        exchange.responder = recorder
        try:
            await proceed(exchange)
        except BaseException as error:
            if not recorder.settled:
                await self._settle_failed(permit, exchange, error)
            raise
        finally:
            exchange.responder = responder
        if not recorder.settled:
            await self.actions.record_outcome(permit, ActionResult.UNKNOWN)

    async def _settle_failed(
        self, permit: SendPermit, exchange: Exchange, error: BaseException
    ) -> None:
        result = ActionResult.UNKNOWN
        if exchange.sent is False or (
            isinstance(error, Refusal) and error.ran is Ran.NO
        ):
            result = ActionResult.NOT_RUN
        action = permit.record.action
        log.info("{} of {}: {}.", action, permit.record.service, result.value)
        await self.actions.record_outcome(permit, result)


class _Recorder:
    """Passes an answer on and records it before its end."""

    def __init__(
        self, responder: Responder, actions: ActionGuard, permit: SendPermit
    ) -> None:
        self.responder = responder
        self.actions = actions
        self.permit = permit
        self.settled = False
        self._status = 0
        self._content_type = ""
        self._body = bytearray()
        self._broken: Exception | None = None

    async def start(self, status: int, headers: dict[str, str]) -> None:
        """Send status and headers."""
        self._status = status
        names = {name.lower(): value for name, value in headers.items()}
        self._content_type = names.get("content-type", "")
        await self._pass_on(self.responder.start(status, headers))

    async def write(self, chunk: bytes) -> None:
        """Send part of the body."""
        if len(self._body) <= MAX_RECORDED_BODY_BYTES:
            self._body += chunk
        await self._pass_on(self.responder.write(chunk))

    async def finish(self) -> None:
        """Record the outcome and end the body."""
        self.settled = True
        kept = len(self._body) <= MAX_RECORDED_BODY_BYTES
        await self.actions.record_outcome(
            self.permit,
            ActionResult.DONE,
            self._status if kept else 0,
            self._body.decode(errors=_ANY_BYTES) if kept else "",
            self._content_type,
        )
        await self._pass_on(self.responder.finish())
        if self._broken is not None:
            raise self._broken

    async def _pass_on(self, sending: Coroutine[Any, Any, None]) -> None:
        """Send on, until the caller's connection breaks."""
        if self._broken is not None:
            sending.close()
            return
        try:
            await sending
        except Exception as error:
            self._broken = error


def request_digest(exchange: Exchange) -> str:
    """Return the digest of an action's method, path, query and body."""
    request = exchange.request
    head = f"{request.method}\n{exchange.rest}\n{request.query}\n".encode()
    return hashlib.sha256(head + request.body).hexdigest()


def _action_id(exchange: Exchange) -> str:
    action = exchange.request.header(ACTION_HEADER).strip()
    if action and len(action) <= _ACTION_ID_CHARS:
        return action
    raise Refusal(
        "action_id_missing",
        f"This operation may not be repeated, so it needs {ACTION_HEADER} "
        f"of 1 to {_ACTION_ID_CHARS} characters.",
        _BAD_REQUEST,
    )


async def _replay(exchange: Exchange, outcome: ActionOutcome) -> None:
    headers = {_REPLAYED_HEADER: "true"}
    if outcome.content_type:
        headers["Content-Type"] = outcome.content_type
    exchange.started = True
    await exchange.responder.start(outcome.status, headers)
    await exchange.responder.write(outcome.body.encode(errors=_ANY_BYTES))
    await exchange.responder.finish()
