"""Tells the loss of all links to endpoints from the failure of a few endpoints.

Only connections that can't be opened count: an endpoint that falls silent for a
moment still takes them. Several endpoints of several failure domains must fail with
none that takes a connection in between; some of the others are asked then, since
several may have ended at once.
"""

import asyncio
import random
from collections.abc import Callable

from loguru import logger

from eelgrasslock.background_tasks import BackgroundTasks
from eelgrasslock.clock import Clock
from eelgrasslock.http.connection import HTTPConnection
from eelgrasslock.http.pool import ConnectFailed, ConnectionPool
from eelgrasslock.registry.endpoint_registry import EndpointRecord, EndpointRegistry

MIN_FAILED_ENDPOINTS = 3
MIN_FAILED_DOMAINS = 2
FAILURE_WINDOW_SECONDS = 2.0
MAX_VERIFIED_ENDPOINTS = 4
# An answer as young as this shows that connections opened earlier still work.
ANSWER_SECONDS = 0.5
CHECK_INTERVAL_SECONDS = 1.0
RETURN_CHECK_SECONDS = 0.3
RETURN_CHECK_ENDPOINTS = 2

_log = logger.bind(part="links")


class LinkMonitor:
    """Watches the connections from this daemon to the endpoints.

    Parameters
    ----------
    endpoint_registry : EndpointRegistry
        The endpoints.
    pool : ConnectionPool
        Opens connections.
    clock : Clock
        The source of time.
    rng : random.Random
        Chooses the endpoints of a check.

    Attributes
    ----------
    lost_at : float or None
        When the links were lost, on the monotonic clock; None while they work.
    answered_at : float
        When an endpoint last answered, on the monotonic clock.
    failed_at : dict of str to float
        When a connection to each endpoint last failed, since one was last opened.
    on_lost, on_regained : callable
        Called when the links are lost, and when they are back.
    """

    def __init__(
        self,
        endpoint_registry: EndpointRegistry,
        pool: ConnectionPool,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.endpoint_registry = endpoint_registry
        self.pool = pool
        self.clock = clock
        self.rng = rng
        self.lost_at: float | None = None
        self.answered_at = float("-inf")
        self.failed_at: dict[str, float] = {}
        self.on_lost: Callable[[], None] = lambda: None
        self.on_regained: Callable[[], None] = lambda: None
        self._next_check_at = float("-inf")
        self._verification: asyncio.Task[None] | None = None
        self.checks = BackgroundTasks()

    # --- what became of connections ---------------------------------------------

    def record_opened(self) -> None:
        """Record that an endpoint took a new connection."""
        self.failed_at.clear()

    def record_answer(self) -> None:
        """Record that an endpoint answered, on whichever connection."""
        self.answered_at = self.clock.monotonic()

    def record_failed(self, record: EndpointRecord) -> None:
        """Record that no connection to an endpoint could be opened."""
        self.failed_at[record.id] = self.clock.monotonic()
        if self.lost_at is not None or not self._are_enough_failed():
            return
        if self._verification is None or self._verification.done():
            self._verification = self.checks.start(self._verify())

    async def wait_until_verified(self) -> None:
        """Wait until it is known whether the links are lost, if that is in doubt."""
        if self._verification is not None:
            await asyncio.wait({self._verification})

    async def _verify(self) -> None:
        """Declare the links lost unless an endpoint that has not failed is reached."""
        untried = [one for one in self._usable() if one.id not in self.failed_at]
        sample = self._sample(untried, MAX_VERIFIED_ENDPOINTS)
        opened = await asyncio.gather(*(self._open(one) for one in sample))
        if any(opened) or self.lost_at is not None or not self.failed_at:
            return
        self.lost_at = self.clock.monotonic()
        _log.warning(
            "Lost the links to the endpoints: none of {} took a connection.",
            sorted(self.failed_at),
        )
        self.on_lost()

    def _are_enough_failed(self) -> bool:
        since = self.clock.monotonic() - FAILURE_WINDOW_SECONDS
        self.failed_at = {one: at for one, at in self.failed_at.items() if at >= since}
        usable = self._usable()
        failed = [one for one in usable if one.id in self.failed_at]
        domains = {one.domain for one in usable}
        failed_domains = {one.domain for one in failed}
        return (
            len(usable) > 1
            and len(failed) >= min(MIN_FAILED_ENDPOINTS, len(usable))
            and len(failed_domains) >= min(MIN_FAILED_DOMAINS, len(domains))
        )

    def _usable(self) -> list[EndpointRecord]:
        entries = self.endpoint_registry.entries.values()
        return [one for one in entries if not one.leaving]

    # --- what may be sent -------------------------------------------------------

    @property
    def is_lost(self) -> bool:
        """Whether no new connection to an endpoint can be opened."""
        return self.lost_at is not None

    @property
    def are_old_alive(self) -> bool:
        """Whether connections that were opened before the loss still work."""
        if self.lost_at is None:
            return True
        since = max(self.lost_at, self.clock.monotonic() - ANSWER_SECONDS)
        return self.answered_at > since

    def may_send(self, record: EndpointRecord) -> bool:
        """Return whether a request may be sent to an endpoint over a link."""
        if self.lost_at is None:
            return True
        return self.are_old_alive and bool(self.pool.idle.get(record.address))

    async def is_out_of_reach(self, record: EndpointRecord) -> bool:
        """Return whether nothing is heard of an endpoint on a new connection.

        One that refuses it is there, and may still work on what it has, unless all
        endpoints refuse.
        """
        try:
            connection = await self.pool.connect(record.address)
        except ConnectFailed as error:
            self.record_failed(record)
            return not (error.was_refused and self.are_old_alive)
        self._keep(record, connection)
        return False

    # --- checks -----------------------------------------------------------------

    def check_silence(self) -> None:
        """Open connections if no endpoint answers; called while a request waits.

        Requests on kept connections don't fail if their links hang.
        """
        now = self.clock.monotonic()
        if self.is_lost or now < self.answered_at + ANSWER_SECONDS:
            return
        if now >= self._next_check_at:
            self._next_check_at = now + CHECK_INTERVAL_SECONDS
            self.checks.start(self._check(MIN_FAILED_ENDPOINTS))

    def check_return(self) -> None:
        """Open connections if the links may be back; called with each request."""
        now = self.clock.monotonic()
        if self.is_lost and now >= self._next_check_at:
            self._next_check_at = now + RETURN_CHECK_SECONDS
            self.checks.start(self._check(RETURN_CHECK_ENDPOINTS))

    async def _check(self, count: int) -> None:
        """Open connections to some endpoints; the links are back if all succeed."""
        records = self._sample(self._usable(), count)
        opened = await asyncio.gather(*(self._open(one) for one in records))
        if self.is_lost and opened and all(opened):
            self.lost_at = None
            _log.info("The links to the endpoints are back.")
            self.on_regained()

    def _sample(self, usable: list[EndpointRecord], count: int) -> list[EndpointRecord]:
        """Return endpoints in random order, of as many domains as there are."""
        self.rng.shuffle(usable)
        chosen: list[EndpointRecord] = []
        domains: set[str] = set()
        for record in usable:
            if record.domain not in domains:
                domains.add(record.domain)
                chosen.append(record)
        others = [one for one in usable if one not in chosen]
        return (chosen + others)[:count]

    async def _open(self, record: EndpointRecord) -> bool:
        try:
            connection = await self.pool.connect(record.address)
        except ConnectFailed:
            self.record_failed(record)
            return False
        self._keep(record, connection)
        return True

    def _keep(self, record: EndpointRecord, connection: HTTPConnection) -> None:
        """Keep a connection that was opened to see whether one opens."""
        self.record_opened()
        self.pool.release(record.address, connection, None)

    async def stop(self) -> None:
        """Stop the checks."""
        await self.checks.stop()
