"""One model call on an engine, resumed where its stream stopped."""

import asyncio
import contextlib
import json
from collections.abc import AsyncGenerator, AsyncIterator
from typing import Any, Protocol
from urllib.parse import quote

import aiohttp
from aiohttp.http_exceptions import LineTooLong
from loguru import logger

from eelgrasslock.clock import Clock
from eelgrasslock.configuration.settings import LimitSettings
from eelgrasslock.endpoints.endpoint_failure import EndpointFailure, refused
from eelgrasslock.endpoints.engine_messages import EndpointLoad
from eelgrasslock.exceptions import EndpointError, Ran
from eelgrasslock.requests.sse import DONE, EventTooLong, ServerEvent, read_events
from eelgrasslock.scheduling.calls import CallOutcome

STREAM_HEADER = "X-Stream-Id"

_RESUMES_WITHOUT_PROGRESS = 2
_PROBES = 3
_PROBE_PAUSE_SECONDS = 0.1
_NOT_FOUND = 404

log = logger.bind(part="engine-client")


class StreamCut(Exception):
    """A stream ended early, or skipped an event."""


_CUT = (aiohttp.ClientError, TimeoutError, OSError, StreamCut)


class CallClient(Protocol):
    """What a call needs of the client that makes it."""

    clock: Clock
    resumed: int

    @property
    def limits(self) -> LimitSettings:
        """The limits in force."""

    @property
    def kept(self) -> aiohttp.ClientSession:
        """Connections that are kept."""

    @property
    def fresh(self) -> aiohttp.ClientSession:
        """Connections for one request each."""

    def epoch(self, url: str) -> str:
        """Return the epoch that an engine gave last."""

    def note_epoch(self, url: str, response: aiohttp.ClientResponse) -> str:
        """Remember and return the epoch that came with a response."""

    def cancel(self, url: str, stream_id: str) -> None:
        """Cancel a stream in the background."""

    async def load(self, url: str) -> EndpointLoad:
        """Return an endpoint's load report."""


class EngineCall:
    """Follows one stream over as many connections as it takes.

    Parameters
    ----------
    client : CallClient
        Gives the connections.
    url : str
        The engine.
    body : dict
        The request.
    headers : dict of str to str
        The headers that go with it.
    first_token_seconds : float
        How long the first token may take beyond the progress deadline.
    """

    def __init__(
        self,
        client: CallClient,
        url: str,
        body: dict[str, Any],
        headers: dict[str, str],
        first_token_seconds: float,
    ) -> None:
        self.client = client
        self.url = url
        self.body = body
        self.headers = headers
        self.first_token_seconds = first_token_seconds
        self.stream_id = ""
        self.epoch = client.epoch(url)
        self.received = 0
        self.done = False

    async def chunks(self) -> AsyncGenerator[dict[str, Any], None]:
        """Yield the stream's chunks, each once and in their order."""
        try:
            async with contextlib.aclosing(self._follow()) as events:
                async for data in events:
                    yield _chunk(data)
            self.done = True
        finally:
            if self.stream_id and not self.done:
                self.client.cancel(self.url, self.stream_id)

    async def _follow(self) -> AsyncGenerator[str, None]:
        response = await self._post()
        stalls = 0
        while True:
            before = self.received
            try:
                async with contextlib.aclosing(self._read(response)) as events:
                    async for data in events:
                        yield data
                return
            except _CUT as error:
                cut = error
            finally:
                response.close()
            stalls = 0 if self.received > before else stalls + 1
            response = await self._resume(cut, stalls)

    async def _read(
        self, response: aiohttp.ClientResponse
    ) -> AsyncGenerator[str, None]:
        """Yield the events of one connection that were not received before."""
        events = read_events(response.content)
        while True:
            async with asyncio.timeout(self._patience()):
                event = await self._next_event(events)
            self.received += 1
            if event.data == DONE:
                return
            yield event.data

    async def _next_event(self, events: AsyncIterator[ServerEvent]) -> ServerEvent:
        """Return the first event that was not received before."""
        try:
            async for event in events:
                number = self.received if event.number is None else event.number
                if number > self.received:
                    raise StreamCut(f"Event {self.received} is missing.")
                if number == self.received:
                    return event
        except (LineTooLong, EventTooLong) as error:
            raise StreamCut("An event is too long.") from error
        raise StreamCut("The stream ended before its last event.")

    def _patience(self) -> float:
        seconds = self.client.limits.progress_seconds
        if self.received == 0:
            seconds += self.first_token_seconds
        return seconds

    async def _post(self) -> aiohttp.ClientResponse:
        path = f"{self.url}/v1/chat/completions"
        try:
            async with asyncio.timeout(self.client.limits.progress_seconds):
                response = await self.client.kept.post(
                    path, json=self.body, headers=self.headers
                )
        except aiohttp.ClientConnectorError as error:
            raise EndpointFailure(str(error), CallOutcome.NOT_SENT, Ran.NO) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise await self._blame(error) from error
        self.epoch = self.client.note_epoch(self.url, response)
        if response.status != 200:
            async with response:
                raise await refused(response)
        self.stream_id = response.headers.get(STREAM_HEADER, "")
        return response

    async def _resume(self, cut: Exception, stalls: int) -> aiohttp.ClientResponse:
        """Return a fresh connection that goes on after the last event."""
        if not self.stream_id or stalls > _RESUMES_WITHOUT_PROGRESS:
            raise await self._blame(cut) from cut
        log.info("Resume a stream of {} after {}.", self.url, _name(cut))
        self.client.resumed += 1
        stream = quote(self.stream_id, safe="")
        path = f"{self.url}/v1/streams/{stream}?from={self.received}"
        try:
            async with asyncio.timeout(self.client.limits.progress_seconds):
                response = await self.client.fresh.get(path, headers=self.headers)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise await self._blame(error) from error
        if response.status == 200:
            return response
        async with response:
            if response.status == _NOT_FOUND:
                raise await self._blame(cut) from cut
            raise await refused(response)

    async def _blame(self, cut: Exception) -> EndpointFailure:
        """Ask on a fresh connection whether it is the endpoint that failed."""
        end = await self._probe()
        if end is None:
            end = CallOutcome.BROKEN
            if isinstance(cut, TimeoutError) and self.stream_id:
                end = CallOutcome.SILENT
        return EndpointFailure(f"{_name(cut)}: {cut}", end, Ran.UNKNOWN)

    async def _probe(self) -> CallOutcome | None:
        """Return how the endpoint failed, None if it answers as before.

        A process that is just dying may still take a connection and drop it,
        so a broken probe is repeated.
        """
        end: CallOutcome | None = CallOutcome.BROKEN
        for _ in range(_PROBES):
            try:
                load = await self.client.load(self.url)
            except EndpointError as error:
                end = _end_of_probe(error)
            else:
                restarted = bool(self.epoch) and load.epoch != self.epoch
                return CallOutcome.CRASHED if restarted else None
            if end is not CallOutcome.BROKEN:
                break
            await self.client.clock.sleep(_PROBE_PAUSE_SECONDS)
        return end


def _end_of_probe(error: EndpointError) -> CallOutcome:
    cause = error.__cause__
    if isinstance(cause, aiohttp.ClientConnectorError):
        nobody_listens = isinstance(cause.os_error, ConnectionError)
        return CallOutcome.CRASHED if nobody_listens else CallOutcome.SILENT
    return CallOutcome.SILENT if error.silent else CallOutcome.BROKEN


def _chunk(data: str) -> dict[str, Any]:
    try:
        chunk = json.loads(data)
    except ValueError as error:
        message = "The engine sent an event that is not JSON."
        raise EndpointFailure(message, CallOutcome.BROKEN, Ran.UNKNOWN) from error
    if not isinstance(chunk, dict) or "error" in chunk:
        message = f"The engine broke off: {data[:300]}"
        raise EndpointFailure(message, CallOutcome.BROKEN, Ran.UNKNOWN)
    return chunk


def _name(error: Exception) -> str:
    return type(error).__name__
