"""Model test of programs and actions: invariants after each random step.

The program and action code of three daemons runs in one event loop with a fake
clock, log, engine and peer links. Random faults are injected: lost, late and
duplicate answers, outages, network cuts, pauses, kills and retirements of
daemons that still run.
"""

import asyncio
import contextlib
import itertools
import uuid
from unittest import mock

import pytest
from attrs import define, field
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from eelgrasslock.exceptions import Ran, Refusal
from eelgrasslock.log.record_codec import decode_batch
from eelgrasslock.log.records import PositionedRecord, journal_stream
from eelgrasslock.programs.journal import Journal
from eelgrasslock.programs.journal_records import ProgramLimits
from fleet import DOMAIN, Fleet, model_call, plain_call, user
from fleet_fakes import FakeEngine

LIMITS = ProgramLimits(tokens=3_000, turns=40, age=1e6)
SMALL_LIMITS = ProgramLimits(tokens=300, turns=40, age=1e6)
CHILD_LIMITS = ProgramLimits(tokens=140, turns=40, age=1e6)
DAEMONS = st.integers(0, 2)
INDEXES = st.integers(0, 5)
TOKENS = st.sampled_from([5, 20, 50, 120])
SECONDS = st.sampled_from([0.1, 0.5, 2.0, 6.0])


@define(eq=False)
class Caller:
    program: str
    secret: str
    limits: ProgramLimits
    parent: str = ""
    history: list = field(factory=list)
    durable: list = field(factory=list)
    turn: int = 0
    lost: bool = False


@define(eq=False)
class Attempt:
    """One call in flight; `text` identifies the question that it asks."""

    id: str
    daemon: object
    exchange: object
    task: asyncio.Task
    caller: Caller | None = None
    text: str = ""


class SequentialIds:
    """Sequential ids, the same in each run of the same steps."""

    def __init__(self):
        self.numbers = itertools.count()

    def uuid4(self):
        return uuid.UUID(int=next(self.numbers))

    def token_hex(self, size):
        return f"{next(self.numbers):0{2 * size}x}"


class ModelEngine(FakeEngine):
    """Records the calls that run, by attempt, action and program."""

    def __init__(self):
        super().__init__()
        self.attempts = set()
        self.actions = []
        self.used = {}
        self.next_faults = []
        self.running = set()
        self.overlaps = 0

    async def __call__(self, exchange):
        key = (exchange.program, exchange.request.header("daemon"))
        self.overlaps += bool(exchange.program) and key in self.running
        self.running.add(key)
        try:
            await self._run(exchange)
        finally:
            self.running.discard(key)

    async def _run(self, exchange):
        fault = self.next_faults.pop() if self.next_faults else ""
        if fault == "not_sent":
            raise Refusal("busy", "Busy.", 503, Ran.NO)
        exchange.sent = True
        self.attempts.add(exchange.request.header("attempt"))
        if exchange.service:
            self.actions.append(exchange.request.header("idempotency-key"))
        tokens = exchange.prompt_tokens + exchange.max_tokens
        if fault == "broken":
            tokens = exchange.tokens_used = tokens // 2
        used = self.used.get(exchange.program, 0)
        self.used[exchange.program] = used + tokens
        if self.gate is not None:
            await self.gate.wait()
        if fault == "broken":
            raise Refusal("broken", "Broken.", 502, Ran.UNKNOWN)
        text = exchange.body.get("messages", [{}])[-1].get("content", "")
        if exchange.service:
            await self._answer(exchange, b"posted")
        else:
            await self._complete(exchange, f"answer to {text}")


class ProgramMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.numbers = itertools.count(1)
        self.patches = [
            mock.patch("eelgrasslock.log.records.uuid", SequentialIds()),
            mock.patch("eelgrasslock.programs.program_ids.secrets", SequentialIds()),
        ]
        for patch in self.patches:
            patch.start()
        self.callers = []
        self.attempts = []
        self.not_run = set()
        self.answers = {}

    # --- set-up -------------------------------------------------------------

    @initialize()
    def begin(self):
        self.fleet = self.do(self._make_fleet())
        self.names = ["a1", "a2", "a3"]
        for name in self.names:
            self.do(self.fleet.add(name))
        self.tick(0.5)
        for index, limits in enumerate([SMALL_LIMITS, LIMITS, SMALL_LIMITS]):
            self.create(index, False, limits)

    async def _make_fleet(self):
        fleet = Fleet(LIMITS)
        fleet.engine = ModelEngine()
        return fleet

    def teardown(self):
        if hasattr(self, "fleet"):
            self.do(self._stop())
        self.loop.close()
        for patch in self.patches:
            patch.stop()

    async def _stop(self):
        for attempt in self.attempts:
            attempt.task.cancel()
        await self.fleet.stop()
        everything = asyncio.all_tasks() - {asyncio.current_task()}
        for task in everything:
            task.cancel()
        await asyncio.gather(*everything, return_exceptions=True)

    def do(self, work):
        return self.loop.run_until_complete(work)

    def tick(self, seconds, task=None):
        self.do(self.fleet.settle(seconds, task, step=0.1))
        self._collect()

    def daemon(self, index):
        return self.fleet.daemons[self.names[index]]

    # --- callers ------------------------------------------------------------

    @rule(
        index=DAEMONS,
        child=st.booleans(),
        limits=st.sampled_from([LIMITS, SMALL_LIMITS]),
    )
    def create(self, index, child, limits):
        parent = self.callers[0].program if child and self.callers else ""
        limits = CHILD_LIMITS if parent else limits
        daemon = self._home(parent, index) if parent else self.daemon(index)
        made = self._run_briefly(daemon.programs.create(limits=limits, parent=parent))
        if made is not None:
            self.callers.append(Caller(made.program, made.secret, made.limits, parent))

    @rule(which=INDEXES, index=DAEMONS, tokens=TOKENS, seconds=SECONDS)
    def ask(self, which, index, tokens, seconds):
        """Send the next turn, or repeat it if it has no answer yet."""
        caller = self.callers[which % len(self.callers)]
        daemon = self._home(caller.program, index)
        if caller.lost:
            self._resume(caller, daemon)
        text = f"{caller.program} {caller.turn}"
        messages = [*caller.history, user(text)]
        call = model_call(caller.program, caller.secret, messages, caller.turn, tokens)
        self._send(daemon, call, caller, text, seconds)

    @rule(which=INDEXES, index=DAEMONS, fault=st.booleans(), children=st.booleans())
    def ask_while_children_start(self, which, index, fault, children):
        """Race a draw, budget reservations of new children and a broken call."""
        parent = self.callers[0].program
        home = self._home(parent, index)
        self.fleet.engine.next_faults += ["broken"] * fault
        for _ in range(2 * children):
            work = home.programs.create(limits=CHILD_LIMITS, parent=parent)
            self.loop.create_task(self._adopt(work, parent))
        which = 0 if children else which
        self.ask(which, index, 50, 2.0)
        self.ask(which, index, 120, 2.0)

    async def _adopt(self, work, parent):
        with contextlib.suppress(Refusal):
            made = await work
            self.callers.append(Caller(made.program, made.secret, made.limits, parent))

    @rule(which=INDEXES, index=DAEMONS, tokens=TOKENS, seconds=SECONDS)
    def ask_twice(self, which, index, tokens, seconds):
        self.ask(which, index, tokens, seconds)
        self.ask(which, index, tokens, seconds)

    @rule(which=INDEXES, index=DAEMONS, kill=st.booleans(), seconds=SECONDS)
    def move_while_a_call_runs(self, which, index, kill, seconds):
        """Take over a program while the engine runs a call for its holder."""
        caller = self.callers[which % len(self.callers)]
        holder = self.names.index(self._home(caller.program, index).incarnation)
        self.set_engine_faults("", True)
        self.ask(which, index, 20, 1.0)
        if kill:
            self.kill_and_replace(holder)
        else:
            self.pause(holder, True)
        other = next(number for number in range(3) if number != holder)
        self.fleet.engine.gate, stalled = None, self.fleet.engine.gate
        self.ask(which, other, 20, 3.0)
        self.unpause(holder, 0.1)
        stalled.set()
        self.tick(seconds)

    def _resume(self, caller, daemon):
        resumed = self._run_briefly(daemon.programs.resume(caller.program))
        if resumed is not None:
            caller.history = list(resumed.history)
            caller.turn = resumed.turn
            caller.lost = False

    def _run_briefly(self, work):
        """Return a coroutine's result after 3 s at most, None if it has none."""
        task = self.loop.create_task(work)
        self.tick(3.0, task)
        task.cancel()
        self.tick(0.1, task)
        return None if task.cancelled() or task.exception() else task.result()

    @rule(
        action=st.integers(0, 3),
        first=DAEMONS,
        second=DAEMONS,
        fault=st.sampled_from(["", "not_sent", "broken"]),
        seconds=SECONDS,
    )
    def post(self, action, first, second, fault, seconds):
        self.fleet.engine.next_faults.append(fault)
        for index in (first, second):
            call = plain_call(f"fee-{action}", body=b"%d" % action)
            self._send(self.daemon(index), call, None, "", seconds)

    @rule(which=INDEXES)
    def disconnect_caller(self, which):
        for attempt in self.attempts[which:][:1]:
            attempt.task.cancel()
        self.tick(0.1)

    def _home(self, program, index):
        """Return the daemon that a daemon's locate filter would forward to."""
        owner = self.daemon(index).membership.owner(program).incarnation
        home = owner if owner in self.names else self.names[index]
        return self.fleet.daemons[home]

    def _send(self, daemon, exchange, caller, text, seconds):
        name = str(next(self.numbers))
        exchange.request.headers["attempt"] = name
        exchange.request.headers["daemon"] = daemon.incarnation
        task = self.loop.create_task(daemon.serve(exchange))
        self.attempts.append(Attempt(name, daemon, exchange, task, caller, text))
        self.tick(seconds, task)

    def _collect(self):
        for attempt in [one for one in self.attempts if one.task.done()]:
            self.attempts.remove(attempt)
            if attempt.task.cancelled():
                continue
            error = attempt.task.exception()
            if error is None:
                self._apply_answer(attempt)
            elif not isinstance(error, Refusal):
                raise error
            elif error.ran is Ran.NO:
                self.not_run.add(attempt.id)
            if attempt.caller is not None and error is not None:
                attempt.caller.lost = True

    def _apply_answer(self, attempt):
        if attempt.caller is None:
            return
        caller, exchange = attempt.caller, attempt.exchange
        wanted = f"answer to {attempt.text}"
        assert wanted in exchange.responder.body.decode()
        messages = exchange.body["messages"]
        history = [*messages, {"role": "assistant", "content": wanted}]
        if exchange.journaled and len(history) > len(caller.durable):
            caller.durable = history
        if messages[:-1] == caller.history:
            caller.history = history
            caller.turn += 1

    # --- faults -------------------------------------------------------------

    @rule(
        switch=st.sampled_from(
            ["down", "refuse", "lose_answers", "lose_requests", "late", "duplicate"]
        ),
        value=st.integers(1, 2),
        delay=st.sampled_from([0.0, 0.0, 1.5]),
    )
    def set_log_faults(self, switch, value, delay):
        setattr(self.fleet.log, switch, value)
        self.fleet.log.delay = delay

    @rule(fault=st.sampled_from(["", "not_sent", "broken"]), slow=st.booleans())
    def set_engine_faults(self, fault, slow):
        self.fleet.engine.next_faults.append(fault)
        if slow and self.fleet.engine.gate is None:
            self.fleet.engine.gate = asyncio.Event()

    @rule(
        index=DAEMONS,
        log=st.booleans(),
        peers=st.booleans(),
        lose=st.integers(0, 2),
        late=st.sampled_from([0.0, 0.3]),
    )
    def cut_network(self, index, log, peers, lose, late):
        daemon = self.daemon(index)
        daemon.log.cut = log
        daemon.peers.cut = peers
        daemon.peers.lose, daemon.peers.late, daemon.peers.twice = lose, late, True

    @rule(seconds=SECONDS)
    def end_faults(self, seconds):
        log = self.fleet.log
        log.down = log.refuse = False
        log.delay = 0.0
        log.release_late()
        for daemon in self._live_daemons():
            daemon.log.cut = daemon.peers.cut = False
            daemon.awake.set()
        if self.fleet.engine.gate is not None:
            self.fleet.engine.gate.set()
            self.fleet.engine.gate = None
        self.tick(seconds)

    @rule(seconds=SECONDS)
    def end_faults_again(self, seconds):
        self.end_faults(seconds)

    @rule(index=DAEMONS, retire=st.booleans())
    def pause(self, index, retire):
        """Pause a daemon; if it is retired, it reads that only when resumed."""
        self.daemon(index).awake.clear()
        if retire and self.names[index] not in self._retired():
            self.fleet.retire(self.names[index])

    @rule(index=DAEMONS, seconds=SECONDS)
    def unpause(self, index, seconds):
        self.daemon(index).awake.set()
        self.tick(seconds)

    @rule(index=DAEMONS)
    def kill_and_replace(self, index):
        name = self.names[index]
        daemon = self.daemon(index)
        self._kill(daemon)
        if name not in self._retired():
            self.fleet.retire(name)
        self.names[index] = f"b{next(self.numbers)}"
        self.do(self.fleet.add(self.names[index]))
        self.tick(0.5)

    def _kill(self, daemon):
        daemon.dead = True
        daemon.awake.clear()
        for attempt in self.attempts:
            if attempt.daemon is daemon:
                attempt.task.cancel()
        self.do(daemon.kill())

    def _live_daemons(self):
        return [one for one in self.fleet.daemons.values() if not one.dead]

    def _retired(self):
        return {one.record.incarnation for one in self.fleet.retired}

    # --- invariants ---------------------------------------------------------

    def _read_journal(self):
        journal = Journal()
        seen = set()
        last = -1
        for entry in self.fleet.log.streams.get(journal_stream(DOMAIN), []):
            for number, record in enumerate(decode_batch(entry.data)):
                if record.id not in seen:
                    journal.apply(PositionedRecord(entry.offset, number, record))
                seen.add(record.id)
            last = entry.offset
        return journal, last

    @invariant()
    def assert_invariants(self):
        if not hasattr(self, "fleet"):
            return
        journal, last = self._read_journal()
        self._check_histories(journal)
        self._check_budgets()
        self._check_runs()
        self._check_agreement(journal, last)

    def _check_histories(self, journal):
        for caller in self.callers:
            state = journal.program(caller.program)
            if state is not None:
                assert not state.ledger.overdrawn, "used more than was drawn"
            if state is not None and state.ended:
                continue
            history = state.history if state is not None else []
            assert history[: len(caller.durable)] == caller.durable, "history lost"
            for number, message in enumerate(history):
                text = f"{caller.program} {number // 2}"
                wanted = text if number % 2 == 0 else f"answer to {text}"
                assert message["content"] == wanted, "history mixed or out of order"

    def _check_budgets(self):
        used = self.fleet.engine.used
        for caller in self.callers:
            family = [one for one in self.callers if one.parent == caller.program]
            total = sum(used.get(one.program, 0) for one in [caller, *family])
            assert total <= caller.limits.tokens, "budget exceeded"

    def _check_runs(self):
        engine = self.fleet.engine
        assert len(set(engine.actions)) == len(engine.actions), "action ran twice"
        assert not self.not_run & engine.attempts, "not run, but it ran"
        assert not engine.overlaps, "two calls of a program ran at once"

    def _check_agreement(self, journal, last):
        for daemon in self._live_daemons():
            if daemon.tail.position(journal_stream(DOMAIN)) != last:
                continue
            assert daemon.programs.journal.programs == journal.programs


def run(examples, steps, derandomize, phases=tuple(Phase)):
    run_state_machine_as_test(
        ProgramMachine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=steps,
            derandomize=derandomize,
            deadline=None,
            database=None,
            phases=phases,
            report_multiple_bugs=False,
            suppress_health_check=list(HealthCheck),
        ),
    )


def test_invariants_hold_after_each_step():
    run(examples=25, steps=30, derandomize=True)


@pytest.mark.soak
@pytest.mark.timeout(3_600)
def test_invariants_hold_in_a_longer_run():
    run(examples=600, steps=50, derandomize=False)
