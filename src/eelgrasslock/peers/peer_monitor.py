"""Sends heartbeats to peers and records their answers."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from loguru import logger

from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import PeerUnavailable
from eelgrasslock.log.records import MemberJoined
from eelgrasslock.peers.failure_detector import FailureDetector
from eelgrasslock.peers.heartbeat_codec import Heartbeat
from eelgrasslock.peers.heartbeat_topology import heartbeat_interval
from eelgrasslock.peers.peer_transport import (
    PeerAuthFailed,
    PeerRestarted,
    PeerTransport,
)

_RETRY_SECONDS = 0.5
_JITTER = 0.2

log = logger.bind(part="members")


class PeerMonitor:
    """Runs a heartbeat loop for each target.

    Parameters
    ----------
    peers : PeerTransport
        The connections to the peers.
    clock : Clock
        The source of time.
    rng : random.Random
        Draws the jitter between heartbeats.
    make_heartbeat : callable
        Returns the heartbeat for a peer, given its incarnation.
    on_answer : callable
        Called with a peer and its answer.
    on_missed : callable
        Awaited with a peer each time it has not answered.

    Attributes
    ----------
    detector : FailureDetector
        The history of the peers' answers, by `peer_key`.
    """

    def __init__(
        self,
        peers: PeerTransport,
        clock: Clock,
        rng: random.Random,
        make_heartbeat: Callable[[str], Heartbeat],
        on_answer: Callable[[MemberJoined, Heartbeat], None],
        on_missed: Callable[[MemberJoined], Awaitable[None]],
    ) -> None:
        self.peers = peers
        self.clock = clock
        self.rng = rng
        self.make_heartbeat = make_heartbeat
        self.on_answer = on_answer
        self.on_missed = on_missed
        self.detector = FailureDetector()
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def set_targets(self, members: list[MemberJoined]) -> None:
        """Send heartbeats to these peers, and to no others."""
        wanted = {member.incarnation: member for member in members}
        for incarnation in self._tasks.keys() - wanted.keys():
            self._tasks.pop(incarnation).cancel()
        for incarnation in wanted.keys() - self._tasks.keys():
            task = asyncio.create_task(self._run(wanted[incarnation]))
            self._tasks[incarnation] = task

    async def stop(self) -> None:
        """Stop all heartbeat loops."""
        tasks = list(self._tasks.values())
        self._tasks.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def send_heartbeat(self, member: MemberJoined) -> bool:
        """Send one heartbeat to a peer, and return whether it answered."""
        key = peer_key(member)
        try:
            heartbeat = self.make_heartbeat(member.incarnation)
            answer = await self.peers.heartbeat(member, heartbeat)
        except PeerAuthFailed:
            self.detector.record_miss(key, self.clock.monotonic())
            self.detector.record_contact(key, self.clock.monotonic())
        except PeerRestarted:
            self.detector.record_replacement(key, self.clock.monotonic())
        except PeerUnavailable:
            self.detector.record_miss(key, self.clock.monotonic())
        else:
            self.detector.record_answer(key, self.clock.monotonic())
            self.on_answer(member, answer)
            return True
        return False

    async def _run(self, member: MemberJoined) -> None:
        await self.clock.sleep(self.rng.uniform(0.0, self._interval()))
        while True:
            try:
                answered = await self._send_once(member)
            except Exception:
                log.exception("Sending a heartbeat to {} failed.", member.name)
                answered = False
            await self.clock.sleep(self._interval() if answered else _RETRY_SECONDS)

    async def _send_once(self, member: MemberJoined) -> bool:
        if await self.send_heartbeat(member):
            return True
        await self.on_missed(member)
        return False

    def _interval(self) -> float:
        jitter = self.rng.uniform(1 - _JITTER, 1 + _JITTER)
        return heartbeat_interval(len(self._tasks)) * jitter


def peer_key(member: MemberJoined) -> str:
    """Return a member's key, which stays the same when the daemon restarts."""
    return f"{member.domain}/{member.name}"
