"""Tells an endpoint that crashed from a connection or a network that broke."""

import asyncio
from collections.abc import Callable

from loguru import logger

from eelgrasslock.background_tasks import BackgroundTasks
from eelgrasslock.clock import Clock
from eelgrasslock.exchanges.attempt_result import AttemptOutcome
from eelgrasslock.failures.endpoint_probe import EndpointProbe, ProbeResult
from eelgrasslock.failures.link_monitor import LinkMonitor
from eelgrasslock.http.pool import ConnectFailed, ConnectionPool
from eelgrasslock.registry.endpoint_registry import EndpointRecord, EndpointRegistry

CORRELATION_DELAY_SECONDS = 0.05
CORRELATION_WINDOW_SECONDS = 0.5
# Some of those asked may have ended as well.
MAX_NEIGHBOURS = 3

_log = logger.bind(part="endpoints")


class FailureClassifier:
    """Classifies lost connections by what becomes of new ones.

    Parameters
    ----------
    pool : ConnectionPool
        Opens connections.
    endpoint_registry : EndpointRegistry
        The endpoints.
    links : LinkMonitor
        Is told which connections open and which fail.
    clock : Clock
        The source of time.
    probe : EndpointProbe
        Asks an endpoint whether it is still the registered one.
    on_crash : callable
        Called with the registration of an endpoint that crashed, and when it had done
        so at the latest, on the monotonic clock.
    on_silence : callable
        Called with that of an endpoint that answers no probe, and since when.
    has_calls : callable
        Returns whether an end of an endpoint could be put down to any call.
    on_alive : callable
        Called with the registration of an endpoint that answered, and when it did,
        on the monotonic clock.

    Attributes
    ----------
    unreachable_at : dict of str to float
        When a connection to an endpoint last failed, on the monotonic clock.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        endpoint_registry: EndpointRegistry,
        links: LinkMonitor,
        clock: Clock,
        probe: EndpointProbe,
        on_crash: Callable[[EndpointRecord, float], None],
        on_silence: Callable[[EndpointRecord, float], None],
        has_calls: Callable[[str], bool],
        on_alive: Callable[[EndpointRecord, float], None],
    ) -> None:
        self.has_calls = has_calls
        self.on_alive = on_alive
        self.on_silence = on_silence
        self.on_crash = on_crash
        self.pool = pool
        self.endpoint_registry = endpoint_registry
        self.links = links
        self.clock = clock
        self.probe = probe
        self.unreachable_at: dict[str, float] = {}
        self.tasks = BackgroundTasks()
        self._checks: dict[str, asyncio.Task[bool]] = {}

    def record_unreachable(self, record: EndpointRecord) -> None:
        """Record that no connection to an endpoint could be opened.

        It may have ended by a call that was answered, or lost, before.
        """
        self.unreachable_at[record.id] = self.clock.monotonic()
        self.links.record_failed(record)
        if self.has_calls(record.id):
            self.check(record)

    async def classify(self, record: EndpointRecord) -> AttemptOutcome:
        """Return whether an endpoint crashed or only lost a connection.

        The check is shared by all requests that lost theirs, and goes on if these
        end first.
        """
        is_crash = await asyncio.shield(self.check(record))
        return AttemptOutcome.CRASHED if is_crash else AttemptOutcome.BROKEN

    def check(self, record: EndpointRecord) -> asyncio.Task[bool]:
        """Return the task that finds out whether an endpoint has crashed."""
        task = self._checks.get(record.id)
        if task is None:
            task = self.tasks.start(self._check(record))
            self._checks[record.id] = task
            task.add_done_callback(lambda _: self._checks.pop(record.id))
        return task

    def check_removed(self, record: EndpointRecord) -> None:
        """Find out whether an endpoint has ended that is registered no more.

        One that leaves without a word goes on, and answers.
        """
        self.tasks.start(self._check_removed(record))

    async def _check_removed(self, record: EndpointRecord) -> None:
        ended_at = self.clock.monotonic()
        if await asyncio.shield(self.check(record)):
            return
        if self.unreachable_at.get(record.id, ended_at) > ended_at:
            return
        result = await self.probe.ask(record)
        if result is ProbeResult.MISDIRECTED:
            _log.info("Another endpoint has the address of {}.", record.id)
            self.on_crash(record, ended_at)
        elif result is ProbeResult.SILENT:
            _log.info("Endpoint {} takes connections and answers nothing.", record.id)
            self.pool.drop(record.address)
            self.on_silence(record, ended_at)

    def check_replaced(self, record: EndpointRecord, ended_at: float) -> None:
        """Find out whether an endpoint has ended whose address another one claims.

        Anybody may write a registration, but only the endpoint answers under its id.

        Parameters
        ----------
        record : EndpointRecord
            The registration of the former endpoint.
        ended_at : float
            When it has ended at the latest, on the monotonic clock.
        """
        self.tasks.start(self._check_replaced(record, ended_at))

    async def _check_replaced(self, record: EndpointRecord, ended_at: float) -> None:
        if await self.probe.ask(record) is ProbeResult.ANSWERED:
            _log.info("Endpoint {} answers: its address is still its own.", record.id)
        else:
            self.on_crash(record, ended_at)

    async def _check(self, record: EndpointRecord) -> bool:
        """Return whether an endpoint takes no connection though the network works.

        If it takes one, the connection is kept for the next request.
        """
        ended_at = self.clock.monotonic()
        if await self._opens(record):
            _log.info("Endpoint {} takes connections: it is asked.", record.id)
            self.tasks.start(self._ask(record))
            return False
        self.pool.drop(record.address)
        self.record_unreachable(record)
        is_crash = await self._is_network_intact(record)
        _log.info(
            "Endpoint {} takes no connection; {}.",
            record.id,
            "it has ended" if is_crash else "others are out of reach, too",
        )
        if is_crash:
            self.on_crash(record, ended_at)
        return is_crash

    async def _ask(self, record: EndpointRecord) -> None:
        """Find out whether an endpoint lives that takes connections.

        The port of one that ends may take them for a while.
        """
        asked_at = self.clock.monotonic()
        result = await self.probe.ask(record)
        if result is ProbeResult.ANSWERED:
            self.on_alive(record, self.clock.monotonic())
        elif result is ProbeResult.MISDIRECTED:
            self.on_crash(record, asked_at)

    async def stop(self) -> None:
        """Stop the checks."""
        await self.tasks.stop()

    async def _is_network_intact(self, record: EndpointRecord) -> bool:
        """Return whether the network to an unreachable endpoint works.

        It does if no other endpoint became unreachable at the same time, or if one
        of the same failure domain still takes connections.
        """
        await self.clock.sleep(CORRELATION_DELAY_SECONDS)
        since = self.clock.monotonic() - CORRELATION_WINDOW_SECONDS
        self.unreachable_at = {
            one: at for one, at in self.unreachable_at.items() if at >= since
        }
        if self.unreachable_at.keys() <= {record.id}:
            return True
        opened = await asyncio.gather(*map(self._opens, self._neighbours(record)))
        return any(opened)

    def _neighbours(self, record: EndpointRecord) -> list[EndpointRecord]:
        """Return some endpoints of the same domain that may be reachable."""
        near = [
            one
            for one in self.endpoint_registry.entries.values()
            if one.domain == record.domain
            and one.address != record.address
            and not one.leaving
            and one.id not in self.unreachable_at
        ]
        return near[:MAX_NEIGHBOURS]

    async def _opens(self, record: EndpointRecord) -> bool:
        try:
            connection = await self.pool.acquire(record.address, 0.0)
        except ConnectFailed:
            return False
        self.links.record_opened()
        self.pool.release(record.address, connection, None)
        return True
