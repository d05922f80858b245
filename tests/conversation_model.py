"""Many daemons that keep turns, under random faults, with clients that know chains.

The daemons' conversation controllers, directories, rankings and their way to the log
through peers are real; the network, the log and the engines are in memory, and one
clock is moved by hand.
"""

import asyncio
import itertools
import random

from attrs import define

from conversation_fleet import Said
from conversation_model_daemon import (
    RETENTION_SECONDS,
    ConversationDaemon,
    ConversationPeer,
)
from eelgrasslock.clock import ManualClock
from eelgrasslock.conversations.turn import Turn
from eelgrasslock.exceptions import Refusal
from eelgrasslock.scheduling.calls import PeerLoad
from memory_log import MemoryLog
from model_mesh import STEP_SECONDS, ModelFleet
from stream_model import DOMAINS

LOG_RETENTION_SECONDS = 60.0
DEADLINE_SECONDS = 4.0
MAX_TRIES = 3
# A turn's last second of retention is left out, as a request takes time.
MARGIN_SECONDS = 1.0


@define(eq=False)
class WholeTurn:
    """A turn that its client has whole."""

    said: Said
    at: float


class ConversationModel(ModelFleet):
    """The daemons, the log, the clients, and the faults of all.

    Attributes
    ----------
    unasked : list of str
        The turns that an engine ran with a wrong body, or after a turn that never
        was.
    lost : list of str
        The turns that were told that the turn before them does not exist.
    errors : list of Exception
        What went wrong in any other way.
    """

    def __init__(self, seed, daemon_count):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        super().__init__()
        self.log = MemoryLog()
        self.without_log = set()
        self.old_builds = set()
        self.log_timeout = 0.0
        self.forged_share = 0.05
        self.loses_answers = False
        self.registered = {}
        self.daemons = {}
        self.tasks = set()
        self.numbers = itertools.count()
        self.whole = []
        self.unasked = []
        self.lost = []
        self.errors = []
        self.tries = self.served = self.refused = 0
        self.told = self.messages = self.appended = self.trimmed = 0
        for number in range(daemon_count):
            self.start_daemon(f"d-{number}", DOMAINS[number % 3], 0)

    def make_peer(self, daemon):
        return ConversationPeer(daemon)

    def start_task(self, work):
        super().start_task(self.note_error(work))

    async def note_error(self, work):
        try:
            await work
        except Exception as error:
            self.errors.append(error)

    def start_daemon(self, name, domain, run):
        daemon = ConversationDaemon(self, name, domain, f"{name}-{run}")
        self.daemons[name] = daemon
        self.registered[name] = daemon.entry
        return daemon

    def named(self, daemon, heartbeat):
        load = PeerLoad(incarnation=daemon.entry.incarnation, in_flight={})
        return type(heartbeat)(load=load)

    # --- clients ----------------------------------------------------------------

    def send(self, per_second):
        count = per_second * STEP_SECONDS
        for _ in range(int(count) + (self.rng.random() < count - int(count))):
            self.start_task(self.run_program())

    async def run_program(self, turns=None, previous=None):
        """Say a line of turns, with sub-agents, each turn at any daemon."""
        turns = turns or self.rng.randint(1, 8)
        for _ in range(turns):
            said = await self.say_until_whole(previous)
            if said is None:
                return
            previous = said
            if self.rng.random() < 0.1:
                self.start_task(self.run_program(2, previous))
            if self.rng.random() < self.forged_share:
                self.start_task(self.say_after_nothing())
            await self.clock.sleep(self.rng.uniform(0.0, 0.3))

    async def say_until_whole(self, previous):
        for _ in range(MAX_TRIES):
            said = await self.say(previous)
            if said is not None:
                return said
            await self.clock.sleep(self.rng.uniform(0.1, 0.4))
        return None

    async def say_after_nothing(self):
        """Name a turn that never was; nothing may run."""
        previous = Said(f"never-{next(self.numbers)}")
        said = await self.say(previous, was_never=True)
        if said is not None:
            self.unasked.append(said.id)

    async def say(self, previous, was_never=False):
        """Say a turn; return it if its response came to its end."""
        alive = [one for one in self.daemons.values() if one.alive]
        if not alive:
            return None
        daemon = self.rng.choice(alive)
        said = Said(f"r-{next(self.numbers)}")
        text = f"in {said.id};".encode() * self.rng.randint(0, 40)
        before = b"" if previous is None else previous.conversation
        self.tries += 1
        try:
            daemon.controller.check_can_store()
            parent = "" if previous is None else previous.id
            history = await daemon.controller.finder.find_history(
                parent, RETENTION_SECONDS
            )
        except Refusal as refusal:
            self.note_refusal(refusal, said, previous, was_never)
            return None
        if was_never or history.body(text) != before + text:
            self.unasked.append(said.id)
        await self.clock.sleep(self.rng.uniform(0.05, 0.3))
        if not daemon.alive:
            return None
        output = f"out {said.id}\n".encode()
        turn = Turn(
            id=said.id,
            parent=parent,
            endpoint="e",
            ended_at=self.clock.now(),
            input=text,
            output=output,
        )
        said.conversation = before + text + output
        if not await self.store(daemon, turn, history):
            return None
        self.served += 1
        self.whole.append(WholeTurn(said, self.clock.monotonic()))
        return said

    async def store(self, daemon, turn, history):
        storing = asyncio.ensure_future(daemon.controller.writer.store(turn, history))
        waiting = asyncio.ensure_future(self.clock.sleep(DEADLINE_SECONDS))
        await asyncio.wait({storing, waiting}, return_when=asyncio.FIRST_COMPLETED)
        is_stored = storing.done()
        for task in (storing, waiting):
            task.cancel()
        await asyncio.gather(storing, waiting, return_exceptions=True)
        return is_stored and daemon.alive

    def note_refusal(self, refusal, said, previous, was_never):
        self.refused += 1
        if refusal.status != 404 or was_never:
            return
        ages = [
            self.clock.monotonic() - one.at
            for one in self.whole
            if previous is not None and one.said is previous
        ]
        if ages and min(ages) < RETENTION_SECONDS - MARGIN_SECONDS:
            self.lost.append(said.id)

    # --- faults and time --------------------------------------------------------

    async def step(self, alive):
        self.log.time = self.clock.now()
        self.log.expire_before(self.log.time - LOG_RETENTION_SECONDS)
        for daemon in alive:
            await daemon.step()

    async def restart(self, names, dark_seconds, per_second):
        for name in names:
            await self.daemons[name].stop()
        await self.run(dark_seconds, per_second)
        for name in names:
            daemon = self.daemons[name]
            run = int(daemon.entry.incarnation.rpartition("-")[2]) + 1
            self.start_daemon(name, daemon.domain, run)

    async def continue_all(self):
        """Let new programs continue from all turns that are kept still.

        Returns
        -------
        list of str
            The turns from which no program could continue.
        """
        oldest = self.clock.monotonic() - RETENTION_SECONDS + 3 * MARGIN_SECONDS
        kept = [one for one in self.whole if one.at > oldest]
        self.rng.shuffle(kept)
        stuck = []

        async def go_on(turn):
            if await self.say_until_whole(turn.said) is None:
                stuck.append(turn.said.id)

        for turn in kept[:200]:
            self.start_task(go_on(turn))
        await self.run(2.0, 0)
        return stuck
