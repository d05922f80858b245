"""The client of model engines."""

import asyncio
import json
from collections.abc import AsyncGenerator
from typing import Any
from urllib.parse import quote

import aiohttp
from loguru import logger

from eelgrasslock.clock import Clock
from eelgrasslock.configuration.settings import LimitSettings
from eelgrasslock.endpoints.credentials import (
    ConfigurationSource,
    Credentials,
    no_configuration,
)
from eelgrasslock.endpoints.endpoint_failure import (
    EndpointFailure,
    readable_answer,
    refused,
)
from eelgrasslock.endpoints.engine_call import EngineCall
from eelgrasslock.endpoints.engine_messages import CacheNews, EndpointLoad, EngineOrder
from eelgrasslock.exceptions import Ran
from eelgrasslock.http.client_session import open_session, read_body
from eelgrasslock.requests.exchange import PROGRAM_HEADER
from eelgrasslock.scheduling.calls import CacheEvent, CallOutcome, LoadReport
from eelgrasslock.telemetry.tracing import context_headers

EPOCH_HEADER = "X-Engine-Epoch"

_ORDER_SECONDS = 5.0
_CONFLICT = 409

log = logger.bind(part="engine-client")


class EngineClient:
    """Talks to model engines.

    Kept connections carry the calls. A connection that may have gone silent is
    answered by a fresh one, so those that resume, probe and cancel are never
    kept.

    Parameters
    ----------
    clock : Clock
        The time.
    configuration : callable
        Returns the configuration in force, for deadlines and credentials.
    """

    def __init__(
        self, clock: Clock, configuration: ConfigurationSource = no_configuration
    ) -> None:
        self.clock = clock
        self.configuration = configuration
        self.credentials = Credentials(configuration)
        self.resumed = 0
        self._kept: aiohttp.ClientSession | None = None
        self._fresh: aiohttp.ClientSession | None = None
        self._epochs: dict[str, str] = {}
        self._cancelling: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Do nothing; connections are made when they are needed."""

    async def stop(self) -> None:
        """Finish cancelling, and close all connections."""
        if self._cancelling:
            await asyncio.wait(self._cancelling, timeout=_ORDER_SECONDS)
        for session in (self._kept, self._fresh):
            if session is not None:
                await session.close()
        self._kept = self._fresh = None

    @property
    def kept(self) -> aiohttp.ClientSession:
        """The session whose connections are kept open."""
        if self._kept is None:
            self._kept = _session(force_close=False)
        return self._kept

    @property
    def fresh(self) -> aiohttp.ClientSession:
        """The session that makes a connection for each request."""
        if self._fresh is None:
            self._fresh = _session(force_close=True)
        return self._fresh

    @property
    def limits(self) -> LimitSettings:
        """The limits in force."""
        current = self.configuration()
        return current.limits if current else LimitSettings()

    def complete(
        self,
        url: str,
        body: dict[str, Any],
        program: str = "",
        first_token_seconds: float = 0.0,
    ) -> AsyncGenerator[dict[str, Any], None]:
        """Run a model call and yield its chunks, none lost and none doubled.

        A stream that breaks or goes silent is resumed on a fresh connection.
        Closing the iterator before its end cancels the call at the engine.

        Parameters
        ----------
        url : str
            The engine.
        body : dict
            The request of the chat-completions interface.
        program : str
            Names the session in the engine's memory.
        first_token_seconds : float
            How long the first token may take beyond the progress deadline.

        Raises
        ------
        EndpointFailure
            If the engine can't finish the call.
        """
        headers = self.headers(url)
        if program:
            headers[PROGRAM_HEADER] = program
        whole = {**body, "stream": True, "stream_options": {"include_usage": True}}
        return EngineCall(self, url, whole, headers, first_token_seconds).chunks()

    async def load(self, url: str) -> EndpointLoad:
        """Return an endpoint's load report; plain services give one as well."""
        answer = await self._json("GET", url, "/load")
        with readable_answer():
            report = LoadReport(
                running=int(answer["running"]),
                queued=int(answer["queued"]),
                cache_used_tokens=int(answer.get("cache_used_tokens", 0)),
                time=float(answer["time"]),
            )
            leaving = bool(answer.get("leaving", False))
        return EndpointLoad(report=report, leaving=leaving, epoch=self.epoch(url))

    async def cache_events(self, url: str, after: int) -> CacheNews:
        """Return an engine's cache events after a number."""
        answer = await self._json("GET", url, f"/cache/events?after={after}")
        with readable_answer():
            epoch = str(answer.get("epoch", ""))
            events = [_cache_event(event) for event in answer["events"]]
        return CacheNews(epoch=epoch, events=events)

    async def sessions(self, url: str) -> list[str]:
        """Return the programs that an engine holds memory for."""
        answer = await self._json("GET", url, "/sessions")
        with readable_answer():
            return [str(session["program"]) for session in answer["sessions"]]

    async def release(self, url: str, program: str, fence: int) -> bool:
        """Order an engine to forget a program; False if the order is too old."""
        path = f"/sessions/{quote(program, safe='')}/release"
        return await self._order(url, path, {"fence": fence})

    async def order(self, url: str, order: EngineOrder) -> bool:
        """Give an engine an order; False if a newer one went before."""
        body = {"kind": order.kind, "value": order.value, "fence": order.fence}
        return await self._order(url, "/orders", body)

    async def export_kv(self, url: str, program: str) -> tuple[int, ...]:
        """Return the blocks that an engine holds for a program."""
        answer = await self._json("POST", url, "/kv/export", {"program": program})
        with readable_answer():
            return tuple(int(block) for block in answer["blocks"])

    async def import_kv(self, url: str, program: str, blocks: tuple[int, ...]) -> int:
        """Load blocks into another engine, and return how many it took."""
        body = {"program": program, "blocks": list(blocks)}
        answer = await self._json("POST", url, "/kv/import", body)
        with readable_answer():
            return int(answer["imported"])

    def cancel(self, url: str, stream_id: str) -> None:
        """Cancel a stream in the background."""
        task = asyncio.create_task(self._cancel(url, stream_id))
        self._cancelling.add(task)
        task.add_done_callback(self._cancelling.discard)

    def headers(self, url: str) -> dict[str, str]:
        """Return the headers that each request to an endpoint carries."""
        return {**self.credentials.headers(url), **context_headers()}

    def epoch(self, url: str) -> str:
        """Return the epoch that an engine gave last, or an empty string."""
        return self._epochs.get(url, "")

    def note_epoch(self, url: str, response: aiohttp.ClientResponse) -> str:
        """Remember and return the epoch that came with a response."""
        epoch = response.headers.get(EPOCH_HEADER, "")
        if epoch:
            self._epochs[url] = epoch
        return epoch

    async def _cancel(self, url: str, stream_id: str) -> None:
        path = f"{url}/v1/streams/{quote(stream_id, safe='')}"
        try:
            async with asyncio.timeout(_ORDER_SECONDS):
                response = await self.fresh.delete(path, headers=self.headers(url))
                response.release()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            log.info("Could not cancel at {}: {}.", url, type(error).__name__)

    async def _order(self, url: str, path: str, body: dict[str, Any]) -> bool:
        try:
            await self._json("POST", url, path, body)
        except EndpointFailure as failure:
            if failure.status == _CONFLICT:
                return False
            raise
        return True

    def _order_seconds(self) -> float:
        return min(_ORDER_SECONDS, self.limits.progress_seconds)

    async def _ask(
        self, method: str, url: str, path: str, body: dict[str, Any] | None
    ) -> dict[str, Any]:
        request = self.fresh.request(
            method, url + path, json=body, headers=self.headers(url)
        )
        async with request as response:
            self.note_epoch(url, response)
            if response.status >= 400:
                raise await refused(response)
            answer = json.loads(await read_body(response))
        if not isinstance(answer, dict):
            raise ValueError("The answer is no JSON object.")
        return answer

    async def _json(
        self, method: str, url: str, path: str, body: dict[str, Any] | None = None
    ) -> dict[str, Any]:
        """Send a short request on a fresh connection; return the JSON answer."""
        try:
            async with asyncio.timeout(self._order_seconds()):
                return await self._ask(method, url, path, body)
        except aiohttp.ClientConnectorError as error:
            raise EndpointFailure(str(error), CallOutcome.NOT_SENT, Ran.NO) from error
        except TimeoutError as error:
            raise EndpointFailure(
                "No answer in time.", CallOutcome.SILENT, Ran.UNKNOWN
            ) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise EndpointFailure(
                f"Broken: {error!r}", CallOutcome.BROKEN, Ran.UNKNOWN
            ) from error


def _cache_event(event: dict[str, Any]) -> CacheEvent:
    return CacheEvent(
        number=int(event["number"]),
        stored=tuple(event["stored"]),
        evicted=tuple(event["evicted"]),
    )


def _session(force_close: bool) -> aiohttp.ClientSession:
    timeout = aiohttp.ClientTimeout(total=None)
    return open_session(limit=0, force_close=force_close, timeout=timeout)
