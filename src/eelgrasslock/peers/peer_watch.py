"""Sends heartbeats to peers and notes who answers."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from loguru import logger

from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import PeerUnavailable
from eelgrasslock.log.records import MemberJoined
from eelgrasslock.peers.beat import Beat
from eelgrasslock.peers.heartbeat import FailureDetector
from eelgrasslock.peers.links import PeerDenied, PeerGone, PeerLinks
from eelgrasslock.peers.relays import heartbeat_interval

_RETRY_SECONDS = 0.5
_JITTER = 0.2

log = logger.bind(part="members")


class PeerWatch:
    """One heartbeat loop for each peer that is watched.

    Parameters
    ----------
    peers : PeerLinks
        The connections.
    clock : Clock
        The source of time.
    rng : random.Random
        Draws the jitter between heartbeats.
    make_beat : callable
        Gives the heartbeat for a peer.
    on_answer : callable
        Takes a peer and its answer.
    on_missed : callable
        Awaited with a peer each time one has not answered.

    Attributes
    ----------
    detector : FailureDetector
        What is known of the peers' answers, by `peer_key`.
    """

    def __init__(
        self,
        peers: PeerLinks,
        clock: Clock,
        rng: random.Random,
        make_beat: Callable[[str], Beat],
        on_answer: Callable[[MemberJoined, Beat], None],
        on_missed: Callable[[MemberJoined], Awaitable[None]],
    ) -> None:
        self.peers = peers
        self.clock = clock
        self.rng = rng
        self.make_beat = make_beat
        self.on_answer = on_answer
        self.on_missed = on_missed
        self.detector = FailureDetector()
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def watch(self, members: list[MemberJoined]) -> None:
        """Watch these peers, and no others."""
        wanted = {member.incarnation: member for member in members}
        for incarnation in self._tasks.keys() - wanted.keys():
            self._tasks.pop(incarnation).cancel()
        for incarnation in wanted.keys() - self._tasks.keys():
            task = asyncio.create_task(self._run(wanted[incarnation]))
            self._tasks[incarnation] = task

    async def stop(self) -> None:
        """Watch nobody."""
        tasks = list(self._tasks.values())
        self._tasks.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def beat(self, member: MemberJoined) -> bool:
        """Exchange heartbeats with a peer once, and return whether it answered."""
        key = peer_key(member)
        try:
            beat = self.make_beat(member.incarnation)
            answer = await self.peers.heartbeat(member, beat)
        except PeerDenied:
            self.detector.missed(key, self.clock.monotonic())
            self.detector.heard(key, self.clock.monotonic())
        except PeerGone:
            self.detector.replaced(key, self.clock.monotonic())
        except PeerUnavailable:
            self.detector.missed(key, self.clock.monotonic())
        else:
            self.detector.answered(key, self.clock.monotonic())
            self.on_answer(member, answer)
            return True
        return False

    async def _run(self, member: MemberJoined) -> None:
        await self.clock.sleep(self.rng.uniform(0.0, self._interval()))
        while True:
            try:
                answered = await self._step(member)
            except Exception:
                log.exception("A heartbeat to {} failed.", member.name)
                answered = False
            await self.clock.sleep(self._interval() if answered else _RETRY_SECONDS)

    async def _step(self, member: MemberJoined) -> bool:
        if await self.beat(member):
            return True
        await self.on_missed(member)
        return False

    def _interval(self) -> float:
        jitter = self.rng.uniform(1 - _JITTER, 1 + _JITTER)
        return heartbeat_interval(len(self._tasks)) * jitter


def peer_key(member: MemberJoined) -> str:
    """Return a key that stays the same when the daemon starts anew."""
    return f"{member.domain}/{member.name}"
