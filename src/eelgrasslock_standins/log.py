"""The stand-in for the platform's append-only log."""

import base64

from aiohttp import web
from attrs import define, field

from eelgrasslock_standins.control import add_control, use_up
from eelgrasslock_standins.serving import RateLimit, ScaledClock, drop_connection

_RETRY_AFTER_SECONDS = 1
_MAX_ENTRY_BYTES = 64 * 2**20


@define(kw_only=True)
class LogFaults:
    """What can be switched on the log.

    Attributes
    ----------
    outage : bool
        Everything answers 503.
    read_outage, append_outage : bool
        Only reads, or only appends, answer 503.
    slow_seconds : float
        Added to each call.
    lose_answers : int
        So many appends take effect and lose their answer.
    lose_requests : int
        So many appends are cut off before they take effect.
    appends_per_second : float
        The rate limit.
    retention_seconds : float
        Older entries are dropped; 0 keeps them.
    retention_entries : int
        The most entries that a stream keeps; 0 keeps all.
    offset_step : int
        How much offsets grow for each append.
    """

    outage: bool = False
    read_outage: bool = False
    append_outage: bool = False
    slow_seconds: float = 0.0
    lose_answers: int = 0
    lose_requests: int = 0
    appends_per_second: float = 400.0
    retention_seconds: float = 0.0
    retention_entries: int = 0
    offset_step: int = 1


@define
class StoredEntry:
    """One entry and its age's beginning."""

    offset: int
    data: bytes
    time: float
    taken: float


@define
class Stream:
    """One stream's entries; `end` is the offset that comes next."""

    entries: list[StoredEntry] = field(factory=list)
    end: int = 0
    first: int = 0

    def append(self, data: bytes, clock: ScaledClock, step: int) -> int:
        """Take one entry and return its offset."""
        offset = self.end
        entry = StoredEntry(offset, data, clock.now(), clock.monotonic())
        self.entries.append(entry)
        self.end = offset + step
        return offset

    def expire(self, seconds: float, count: int, now: float) -> None:
        """Drop what retention no longer covers."""
        kept = self.entries
        if seconds > 0:
            kept = [entry for entry in kept if now - entry.taken < seconds]
        if count > 0:
            kept = kept[-count:]
        if len(kept) < len(self.entries):
            self.entries = kept
            self.first = kept[0].offset if kept else self.end


class LogStandin:
    """An append-only log in memory.

    Parameters
    ----------
    clock : ScaledClock
        Times retention, slowness and the rate limit.
    faults : LogFaults
        The switches.
    """

    def __init__(self, clock: ScaledClock, faults: LogFaults) -> None:
        self.clock = clock
        self.faults = faults
        self.streams: dict[str, Stream] = {}
        self.appends = 0
        self.appended_bytes = 0
        self.reads = 0
        self._limit = RateLimit(clock)

    def application(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=_MAX_ENTRY_BYTES)
        app.router.add_post("/streams/{stream}", self._append)
        app.router.add_get("/streams/{stream}", self._read)
        app.router.add_get("/stats", self._stats)
        add_control(app, self.faults)
        return app

    async def _append(self, request: web.Request) -> web.Response:
        data = await request.read()
        await self.clock.sleep(self.faults.slow_seconds)
        if self.faults.outage or self.faults.append_outage:
            return _outage()
        if use_up(self.faults, "lose_requests"):
            return drop_connection(request)
        if not self._limit.take(self.faults.appends_per_second):
            headers = {"Retry-After": str(_RETRY_AFTER_SECONDS)}
            return web.json_response({"error": "rate"}, status=429, headers=headers)
        stream = self.streams.setdefault(request.match_info["stream"], Stream())
        offset = stream.append(data, self.clock, self.faults.offset_step)
        self.appends += 1
        self.appended_bytes += len(data)
        if use_up(self.faults, "lose_answers"):
            return drop_connection(request)
        return web.json_response({"offset": offset})

    async def _read(self, request: web.Request) -> web.Response:
        await self.clock.sleep(self.faults.slow_seconds)
        if self.faults.outage or self.faults.read_outage:
            return _outage()
        self.reads += 1
        stream = self.streams.get(request.match_info["stream"], Stream())
        stream.expire(
            self.faults.retention_seconds,
            self.faults.retention_entries,
            self.clock.monotonic(),
        )
        start = int(request.query.get("from", "0"))
        limit = int(request.query.get("limit", "1000"))
        if start < stream.first:
            return web.json_response({"first": stream.first}, status=410)
        found = [entry for entry in stream.entries if entry.offset >= start][:limit]
        entries = [
            {
                "offset": entry.offset,
                "time": entry.time,
                "data": base64.b64encode(entry.data).decode(),
            }
            for entry in found
        ]
        return web.json_response({"entries": entries, "end": stream.end})

    async def _stats(self, request: web.Request) -> web.Response:
        figures = {
            "appends": self.appends,
            "appended_bytes": self.appended_bytes,
            "reads": self.reads,
            "streams": {name: len(one.entries) for name, one in self.streams.items()},
        }
        return web.json_response(figures)


def _outage() -> web.Response:
    return web.json_response({"error": "outage"}, status=503)
