"""The daemons that keep what was drawn without the log, for each other.

Each program has a failure domain by rendezvous hashing, and all daemons there are its
keepers. A draw without the log counts once a majority of them has taken it, so that
any two draws meet at one keeper at least, whoever is killed, cut off or replaced. Of
two views of who the keepers are, the one with more of them says what a majority is.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from attrs import frozen
from loguru import logger

from eelgrasslock.allowances.kept_draws import KeptDraws, KeptProgram, OfflineDraw
from eelgrasslock.background_tasks import BackgroundTasks
from eelgrasslock.clock import Clock
from eelgrasslock.draws.draw_messages import decode_kept, encode_kept
from eelgrasslock.draws.keeper_map import KeeperMap, Keepers, majority_of
from eelgrasslock.draws.kept_draw_transfer import KeptDrawTransfer
from eelgrasslock.exceptions import PeerUnavailable
from eelgrasslock.peers.daemon_registry import DaemonEntry, DaemonRegistry
from eelgrasslock.peers.peer_callbacks import PeerCallbacks
from eelgrasslock.peers.peer_mesh import PeerMesh
from eelgrasslock.rate import TokenBucket

# Ten daemons stay far below this rate; many would use up their machines on calls.
MAX_CALLS_PER_SECOND = 150.0

_log = logger.bind(part="allowances")


@frozen(kw_only=True)
class KeeperAnswer:
    """What a keeper answers to a draw that it is told of.

    Attributes
    ----------
    known : KeptProgram
        What it knows of the program.
    keepers : int
        How many keepers it takes the program to have, 0 from builds up to bee20bc.
    """

    known: KeptProgram
    keepers: int


class DrawKeepers:
    """Tells keepers of draws without the log, and keeps those of other daemons.

    Parameters
    ----------
    registry : DaemonRegistry
        The registered daemons.
    mesh : PeerMesh
        Calls them.
    clock : Clock
        The time.
    retention_seconds : float
        How long a draw is kept that nobody tells of again; no program pauses so long.
    is_first_start : bool
        Whether this daemon started with the whole fleet, for the first time.

    Attributes
    ----------
    kept : KeptDraws
        What this daemon keeps.
    keeper_map : KeeperMap
        Names the keepers.
    transfer : KeptDrawTransfer
        Lets keepers learn of each other's draws.
    needed_draw : callable
        Returns what this daemon itself needs of what it drew on a program, or None.
    """

    def __init__(
        self,
        registry: DaemonRegistry,
        mesh: PeerMesh,
        clock: Clock,
        retention_seconds: float,
        is_first_start: bool,
    ) -> None:
        self.registry = registry
        self.mesh = mesh
        self.clock = clock
        self.kept = KeptDraws()
        self.keeper_map = KeeperMap(registry, clock, retention_seconds)
        self.transfer = KeptDrawTransfer(
            self.kept, self.keeper_map, mesh, clock, is_first_start
        )
        self.limiter = TokenBucket(clock, MAX_CALLS_PER_SECOND, MAX_CALLS_PER_SECOND)
        self.needed_draw: Callable[[str], OfflineDraw | None] = lambda program: None
        self.tasks = BackgroundTasks()

    def register(self, callbacks: PeerCallbacks) -> None:
        """Serve the calls with which peers tell and ask of draws."""
        callbacks.keep_draw = self.serve_keep
        self.transfer.register(callbacks)

    async def stop(self) -> None:
        """Cancel calls that still run."""
        await self.tasks.stop()

    # --- what this daemon draws -------------------------------------------------

    async def draw(self, program: str, own: OfflineDraw) -> KeptProgram | None:
        """Tell the keepers of a draw; return all that they know.

        None if no majority of them answers, or if the rate of calls is reached.
        """
        keepers = self.keeper_map.keepers(program)
        if not self.limiter.take_now(keepers.count):
            _log.bind(program=program).info(
                "Not asking {} keepers: the limit is {} calls per second.",
                keepers.count,
                MAX_CALLS_PER_SECOND,
            )
            return None
        return await self._ask(program, keepers, own, closes=False)

    async def close(self, program: str, own: OfflineDraw) -> KeptProgram | None:
        """Let a program get no more without the log; return what was drawn so.

        None if no majority of its keepers answers.
        """
        return await self._ask(
            program, self.keeper_map.keepers(program), own, closes=True
        )

    async def _ask(
        self, program: str, keepers: Keepers, own: OfflineDraw, closes: bool
    ) -> KeptProgram | None:
        known = KeptProgram()
        known.put(own)
        count = 0
        majority = keepers.majority
        if keepers.has_own and (kept := self._keep(program, own, closes)):
            known.merge(kept.draws.values(), kept.is_closed)
            count += 1
        waiting = {
            self.tasks.start(self._ask_one(entry, program, own, closes))
            for entry in keepers.others
        }
        while waiting and count < majority:
            done, waiting = await asyncio.wait(
                waiting, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                if answer := task.result():
                    known.merge(answer.known.draws.values(), answer.known.is_closed)
                    majority = max(majority, majority_of(answer.keepers))
                    count += 1
        if count >= majority:
            return known
        _log.bind(program=program).info(
            "{} of {} keepers in {} took a draw without the log, {} are needed.",
            count,
            keepers.count,
            keepers.domain,
            majority,
        )
        return None

    async def _ask_one(
        self, entry: DaemonEntry, program: str, own: OfflineDraw | None, closes: bool
    ) -> KeeperAnswer | None:
        """Tell one daemon; return what it knows, None if it does not count."""
        message = {
            "program": program,
            "holder": own.holder if own else "",
            "sequence": own.sequence if own else 0,
            "tokens": own.tokens if own else 0,
            "recorded": own.recorded if own else 0,
            "closes": closes,
        }

        async def keep(peer: Any) -> Any:
            return await peer.keepDraw(**message)

        try:
            answer = await self.mesh.call(entry, keep)
        except PeerUnavailable:
            # Whoever asks logs how many have answered.
            return None
        if own is not None and not answer.counts:
            return None
        return KeeperAnswer(known=decode_kept(answer.known), keepers=answer.keepers)

    async def ask_holders(self, program: str, known: KeptProgram) -> None:
        """Let the holders give up what they do not need, and add what they tell."""
        own = self.registry.own.incarnation
        holders = [one for one, draw in known.draws.items() if draw.tokens]
        entries = [self.registry.find(one) for one in holders if one != own]
        answers = await asyncio.gather(
            *(self._ask_one(one, program, None, False) for one in entries if one)
        )
        for answer in answers:
            if answer is not None:
                known.merge(answer.known.draws.values(), answer.known.is_closed)

    async def tell(self, draws: dict[str, OfflineDraw]) -> set[str]:
        """Tell the keepers of draws that have not grown.

        Return the programs of which a majority of the keepers has been told.
        """
        programs_by_domain: dict[str, list[str]] = {}
        for program in draws:
            domain = self.keeper_map.keepers(program).domain
            programs_by_domain.setdefault(domain, []).append(program)
        told: set[str] = set()
        for domain, programs in programs_by_domain.items():
            known = {
                one: KeptProgram(draws={draws[one].holder: draws[one]})
                for one in programs
            }
            if await self._tell_keepers(self.keeper_map.keepers_in(domain), known):
                told.update(programs)
        return told

    async def _tell_keepers(
        self, keepers: Keepers, known: dict[str, KeptProgram]
    ) -> bool:
        """Tell the keepers of programs; return whether a majority was told."""
        if keepers.has_own:
            for program, one in known.items():
                self.transfer.merge(program, one)
        count = await self.transfer.give(keepers.others, known)
        return count + keepers.has_own >= keepers.majority

    def update(self) -> None:
        """Note which domains have daemons, and drop what is past."""
        self.keeper_map.update()
        oldest = self.clock.monotonic() - self.keeper_map.retention_seconds
        self.kept.drop_expired(oldest)

    # --- for peers --------------------------------------------------------------

    async def serve_keep(self, message: dict[str, Any], results: Any) -> None:
        """Keep a draw of a peer and tell it what is known, or what is needed here."""
        program = message["program"]
        if not message["holder"]:
            needed = self.needed_draw(program)
            known = KeptProgram()
            if needed is not None:
                known.put(needed)
            results.known = encode_kept(program, known)
            return
        draw = OfflineDraw(
            holder=message["holder"],
            sequence=message["sequence"],
            tokens=message["tokens"],
            recorded=message["recorded"],
        )
        answer = self._keep(program, draw, message["closes"])
        results.counts = answer is not None
        results.keepers = self.keeper_map.keepers(program).count
        if answer is not None:
            results.known = encode_kept(program, answer)

    def _keep(
        self, program: str, draw: OfflineDraw, closes: bool
    ) -> KeptProgram | None:
        """Keep a draw; return what is known, None if this daemon does not count."""
        is_known = program in self.kept.programs
        if not is_known and self.kept.is_full:
            _log.bind(program=program).warning("No draw of another program is kept.")
            return None
        told = KeptProgram(draws={draw.holder: draw}, is_closed=closes)
        self.transfer.merge(program, told)
        is_keeper = self.keeper_map.keepers(program).has_own
        counts = self.transfer.is_informed and is_keeper
        return self.kept.programs[program] if counts else None
