"""Lets keepers learn what was drawn without the log, as daemons come and go."""

import asyncio
from collections.abc import Callable
from typing import Any

from loguru import logger

from eelgrasslock.allowances.kept_draws import KeptDraws, KeptProgram
from eelgrasslock.clock import Clock
from eelgrasslock.draws.draw_messages import decode_kept, encode_kept
from eelgrasslock.draws.keeper_map import KeeperMap
from eelgrasslock.exceptions import PeerUnavailable
from eelgrasslock.peers.daemon_registry import DaemonEntry
from eelgrasslock.peers.peer_callbacks import PeerCallbacks
from eelgrasslock.peers.peer_mesh import PeerMesh

CATCH_UP_INTERVAL_SECONDS = 0.3
# Daemons that start together are all there by then.
FLEET_START_SECONDS = 5.0

_log = logger.bind(part="allowances")


class KeptDrawTransfer:
    """Fetches from the other keepers what they know, and gives them what this one does.

    A daemon is informed if it knows all that it, or one before it under its name, may
    have taken as a keeper. Only informed ones count for a majority.

    Parameters
    ----------
    kept : KeptDraws
        What this daemon keeps.
    keeper_map : KeeperMap
        Knows the other keepers.
    mesh : PeerMesh
        Calls them.
    clock : Clock
        The time.
    is_first_start : bool
        Whether this daemon started with the whole fleet, for the first time.

    Attributes
    ----------
    last_log_response_at : callable
        Returns when the registrations were last read, on the monotonic clock.
    is_caught_up : bool
        Whether enough keepers have told what they know.
    is_leaving : bool
        Whether this daemon has given away what it keeps, as it stops.
    """

    def __init__(
        self,
        kept: KeptDraws,
        keeper_map: KeeperMap,
        mesh: PeerMesh,
        clock: Clock,
        is_first_start: bool,
    ) -> None:
        self.kept = kept
        self.keeper_map = keeper_map
        self.mesh = mesh
        self.clock = clock
        self.is_first_start = is_first_start
        self.started_at = clock.monotonic()
        self.last_log_response_at: Callable[[], float] = clock.monotonic
        self.is_caught_up = False
        self.is_leaving = False

    def register(self, callbacks: PeerCallbacks) -> None:
        """Serve the calls with which peers give and fetch what is kept."""
        callbacks.give_draws = self.serve_give
        callbacks.fetch_draws = self.serve_fetch

    @property
    def is_informed(self) -> bool:
        """Whether this daemon counts as a keeper."""
        if self.is_leaving:
            return False
        return self.is_caught_up or self._runs_for(self.keeper_map.retention_seconds)

    def _is_fleet_there(self) -> bool:
        """Return whether the registrations of all that started together were read."""
        known_at = self.started_at + FLEET_START_SECONDS
        return self.last_log_response_at() >= known_at

    def _runs_for(self, seconds: float) -> bool:
        return self.clock.monotonic() >= self.started_at + seconds

    async def catch_up(self) -> None:
        """Ask the other keepers for what they know, until this daemon is informed."""
        while not self.is_informed and not self.is_leaving:
            await self.try_to_catch_up()
            await self.clock.sleep(CATCH_UP_INTERVAL_SECONDS)

    async def try_to_catch_up(self) -> None:
        """Ask the other keepers once."""
        if self.is_informed or not self.keeper_map.registry.is_own_read:
            return
        keepers = self.keeper_map.own_keepers()
        fleet = list(self.keeper_map.registry.entries.values())
        answers = await asyncio.gather(*(self._fetch(one) for one in fleet))
        informed = [
            answer
            for entry, answer in zip(fleet, answers, strict=True)
            if entry.domain == keepers.domain and answer is not None and answer.counts
        ]
        is_enough = len(informed) >= keepers.reading_quorum
        if self.is_first_start and not self._is_fleet_there():
            # Of two daemons the one that registered later tells the other one.
            is_enough = all(one is not None and one.counts for one in answers)
        if not is_enough:
            return
        for answer in informed:
            for one in answer.programs:
                known = decode_kept(one)
                self.merge(one.program, known)
        self.is_caught_up = True
        _log.info(
            "Knows {} programs that were given tokens without the log, by {} of {}.",
            len(self.kept.programs),
            len(informed),
            len(keepers.others),
        )

    async def _fetch(self, entry: DaemonEntry) -> Any:
        own = self.keeper_map.registry.own

        async def fetch(peer: Any) -> Any:
            return await peer.fetchDraws(joiner=own.name, domain=own.domain)

        try:
            return await self.mesh.call(entry, fetch)
        except PeerUnavailable:
            # It is asked again until enough have answered.
            return None

    async def hand_over(self) -> None:
        """Give all that this daemon keeps to the other keepers, as it stops."""
        self.is_leaving = True
        others = self.keeper_map.own_keepers().others
        if self.kept.programs and others:
            count = await self.give(others, dict(self.kept.programs))
            _log.info("{} of {} keepers took what this one knows.", count, len(others))

    async def give(
        self, entries: list[DaemonEntry], programs: dict[str, KeptProgram]
    ) -> int:
        """Give what is known of programs to daemons; return how many took it."""
        message = [encode_kept(program, kept) for program, kept in programs.items()]

        async def give(peer: Any) -> bool:
            await peer.giveDraws(programs=message)
            return True

        async def try_to_give(entry: DaemonEntry) -> bool:
            try:
                return await self.mesh.call(entry, give)
            except PeerUnavailable:
                # Draws that are not told of count for longer.
                return False

        return sum(await asyncio.gather(*(try_to_give(one) for one in entries)))

    def merge(self, program: str, known: KeptProgram) -> None:
        """Take what is known of a program."""
        kept = self.kept.get(program, self.clock.monotonic())
        kept.merge(known.draws.values(), known.is_closed)

    # --- for peers --------------------------------------------------------------

    async def serve_give(self, message: dict[str, Any], results: Any) -> None:
        """Take what a peer knows."""
        for one in message["programs"]:
            self.merge(one.program, decode_kept(one))

    async def serve_fetch(self, message: dict[str, Any], results: Any) -> None:
        """Tell all that is known to a daemon that joins, which counts from now on."""
        self.keeper_map.note_joined(message["joiner"], message["domain"])
        # Nothing can be kept before the fleet's first start.
        results.counts = self.is_informed or self.is_first_start
        if message["domain"] == self.keeper_map.registry.own.domain:
            programs = self.kept.programs.items()
            results.programs = [encode_kept(*one) for one in programs]
