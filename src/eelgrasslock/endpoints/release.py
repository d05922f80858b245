"""The controller that frees engines' memory of programs that left them."""

import asyncio
import contextlib
import random
from collections.abc import Callable
from typing import Any, Protocol

from attrs import define
from loguru import logger

from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import EelgrassError, LogError
from eelgrasslock.periodic import run_periodically
from eelgrasslock.programs.controller import ProgramController
from eelgrasslock.programs.program import Program
from eelgrasslock.programs.program_ids import parse_program_id

UNKNOWN_SAFE_SECONDS = 60.0
_RECONCILE_SECONDS = 30.0
_TICK_SECONDS = 0.5
_FIRST_RETRY_SECONDS = 1.0
_LONGEST_RETRY_SECONDS = 60.0
_NEWS_SECONDS = 120.0
_JITTER = 0.3
_ORDERS_KEPT = 20_000

log = logger.bind(part="release")


class SessionEngine(Protocol):
    """The part of an engine's client that tells and frees its sessions."""

    async def release(self, url: str, program: str, fence: int) -> bool:
        """Return whether the engine confirms that it holds nothing."""

    async def sessions(self, url: str) -> list[str]:
        """Return the programs that the engine holds memory for."""


@define(kw_only=True)
class ReleaseOrder:
    """An order to an engine, repeated until it is confirmed.

    Attributes
    ----------
    endpoint, program : str
        The engine and the program that it is to forget.
    fence : int
        The offset that made the program's last holder, or a later one.
    due : float
        When to send it next, on the monotonic clock.
    delay : float
        The wait before the try after that, in seconds.
    """

    endpoint: str
    program: str
    fence: int
    due: float
    delay: float = _FIRST_RETRY_SECONDS


class ReleaseController:
    """Releases sessions of programs that ended or moved.

    A session of a program that lives here is never released where it last
    ran, so that an engine that ignores fences loses nothing but cache.

    Parameters
    ----------
    domain : str
        The daemon's failure domain.
    programs : ProgramController
        The programs.
    membership : Membership
        Tells which daemon answers for a program that is gone.
    engine : SessionEngine
        The engines' client.
    endpoints : callable
        Returns the URLs of all engines by endpoint id.
    clock : Clock
        The source of time.
    rng : random.Random
        Spreads the retries.
    """

    def __init__(
        self,
        domain: str,
        programs: ProgramController,
        membership: Any,
        engine: SessionEngine,
        endpoints: Callable[[], dict[str, str]],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.domain = domain
        self.programs = programs
        self.membership = membership
        self.engine = engine
        self.endpoints = endpoints
        self.clock = clock
        self.rng = rng
        self.orders: dict[tuple[str, str], ReleaseOrder] = {}
        self._first_seen: dict[tuple[str, str], float] = {}
        self._tasks: list[asyncio.Task[None]] = []
        programs.journal.on_ended.append(self._release_ended)
        programs.journal.on_endpoint_changed.append(self._release_moved)

    async def start(self) -> None:
        """Start sending orders and comparing engines with the journal."""
        sending = run_periodically(self.clock, lambda: _TICK_SECONDS, self.send_due)
        reconciling = run_periodically(self.clock, self._reconcile_wait, self.reconcile)
        self._tasks = [
            asyncio.create_task(sending),
            asyncio.create_task(reconciling),
        ]

    async def stop(self) -> None:
        """Stop; what is not confirmed is found by a reconciler later."""
        for task in self._tasks:
            task.cancel()
        for task in self._tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task
        self._tasks = []

    def release(self, endpoint: str, program: str, fence: int) -> None:
        """Order an engine to forget a program."""
        if len(self.orders) >= _ORDERS_KEPT:
            return
        self.orders[endpoint, program] = ReleaseOrder(
            endpoint=endpoint,
            program=program,
            fence=fence,
            due=self.clock.monotonic(),
        )

    async def send_due(self) -> None:
        """Send the orders whose time has come."""
        now = self.clock.monotonic()
        due = [order for order in self.orders.values() if order.due <= now]
        await asyncio.gather(*(self._send(order) for order in due))

    async def reconcile(self) -> None:
        """Order the release of sessions that no live program needs."""
        stream = self.programs.local_programs.stream
        try:
            await self.programs.tail.wait_until_caught_up(stream, _RECONCILE_SECONDS)
        except LogError:
            return
        seen: set[tuple[str, str]] = set()
        for endpoint, url in self.endpoints().items():
            for program in await self._sessions(url):
                if self._is_ours(program) and self._is_stray(endpoint, program):
                    seen.add((endpoint, program))
        self._note_strays(seen)

    def _release_ended(self, program: Program) -> None:
        if self._is_news(program) and self.programs.takeover.is_responsible(program):
            for endpoint in program.endpoints:
                self.release(endpoint, program.id, program.updated)

    def _release_moved(self, program: Program, endpoint: str) -> None:
        if self._is_news(program) and self.programs.takeover.is_responsible(program):
            self.release(endpoint, program.id, program.fence)

    def _is_news(self, program: Program) -> bool:
        """Tell whether it happened just now, not in a journal read at the start.

        What a former daemon left undone is found by the reconciler.
        """
        return self.clock.now() - program.active <= _NEWS_SECONDS

    def _is_ours(self, program: str) -> bool:
        """Tell whether this daemon is the one that answers for a program."""
        try:
            home = parse_program_id(program).domain
        except ValueError:
            return False
        if home != self.domain:
            return False
        owner = self.membership.owner(program)
        return owner is not None and self.membership.is_self(owner)

    def _is_stray(self, endpoint: str, program: str) -> bool:
        state = self.programs.local_programs.state(program)
        if state is None or state.ended:
            return True
        if self.programs.local_programs.has_running_call(program) or not state.turns:
            return False
        return state.endpoint != endpoint

    def _note_strays(self, seen: set[tuple[str, str]]) -> None:
        """Release strays only once they have been there for a safe time."""
        now = self.clock.monotonic()
        self._first_seen = {key: self._first_seen.get(key, now) for key in seen}
        fence = self.programs.tail.position(self.programs.local_programs.stream)
        for key, since in self._first_seen.items():
            if now - since >= UNKNOWN_SAFE_SECONDS and key not in self.orders:
                self.release(*key, fence)

    async def _sessions(self, url: str) -> list[str]:
        try:
            return await self.engine.sessions(url)
        except EelgrassError as error:
            log.info("{} does not tell its sessions: {}", url, error)
            return []

    async def _send(self, order: ReleaseOrder) -> None:
        key = (order.endpoint, order.program)
        url = self.endpoints().get(order.endpoint)
        if url is None or not self._is_stray(*key):
            self.orders.pop(key, None)
            return
        if await self._confirmed(url, order):
            self.orders.pop(key, None)
            return
        jitter = 1 + _JITTER * self.rng.random()
        order.due = self.clock.monotonic() + order.delay * jitter
        order.delay = min(2 * order.delay, _LONGEST_RETRY_SECONDS)

    async def _confirmed(self, url: str, order: ReleaseOrder) -> bool:
        try:
            return await self.engine.release(url, order.program, order.fence)
        except EelgrassError as error:
            log.info("{} did not release {}: {}", url, order.program, error)
            return False

    def _reconcile_wait(self) -> float:
        return _RECONCILE_SECONDS * (1 + self.rng.random())
