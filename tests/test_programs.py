"""Programs go on at another daemon, without the log, and from snapshots."""

import asyncio

import pytest

from eelgrasslock.exceptions import Ran, Refusal
from eelgrasslock.programs.journal_records import ProgramLimits
from eelgrasslock.programs.replication import MAX_UNJOURNALED_PER_PROGRAM
from fleet import Fleet, refused, start


@pytest.fixture
async def fleet():
    fleet = Fleet()
    yield fleet
    await fleet.stop()


@pytest.fixture
async def daemon(fleet):
    return await fleet.add("a1")


@pytest.fixture
async def other(fleet, daemon):
    return await fleet.add("a2")


class TestTakeover:
    async def test_next_turn_runs_at_the_new_owner(self, fleet, daemon, other):
        caller = await start(fleet, daemon)
        await caller.ask(daemon, "one")
        await daemon.kill()
        fleet.retire("a1")
        await caller.ask(other, "two")
        state = other.programs.journal.program(caller.program)
        assert (state.holder, state.history) == ("a2", caller.history)
        assert state.ledger.forfeited.tokens > 0

    async def test_program_of_another_owner_is_not_claimed(self, fleet, daemon, other):
        caller = await start(fleet, daemon)
        refusal = await refused(fleet, other.serve(caller.call("one")))
        assert (refusal.code, refusal.ran) == ("program_moving", Ran.NO)

    async def test_call_of_a_paused_holder_is_superseded(self, fleet, daemon, other):
        caller = await start(fleet, daemon)
        fleet.engine.gate = asyncio.Event()
        task = asyncio.create_task(daemon.serve(caller.call("one")))
        await fleet.settle(1.0)
        gate, fleet.engine.gate = fleet.engine.gate, None
        fleet.retire("a1")
        await caller.ask(other, "one")
        gate.set()
        refusal = await refused(fleet, task)
        assert (refusal.code, refusal.ran) == ("superseded", Ran.YES)
        await fleet.settle(1.0)
        for one in (daemon, other):
            state = one.programs.journal.program(caller.program)
            assert state.history == caller.history
            assert state.spent.tokens + state.drawn.tokens >= fleet.engine.tokens

    async def test_call_from_before_a_lost_and_renewed_claim_is_superseded(
        self, fleet, daemon, other
    ):
        caller = await start(fleet, daemon)
        fleet.engine.gate = asyncio.Event()
        task = asyncio.create_task(daemon.serve(caller.call("one")))
        await fleet.settle(1.0)
        gate, fleet.engine.gate = fleet.engine.gate, None
        fleet.retire("a1")
        await caller.ask(other, "two")
        await fleet.settle(1.0)
        await fleet.run(daemon.programs.resume(caller.program))
        state = daemon.programs.journal.program(caller.program)
        assert state.holder == "a1"
        gate.set()
        refusal = await refused(fleet, task)
        assert (refusal.code, refusal.ran) == ("superseded", Ran.YES)
        await fleet.settle(1.0)
        assert state.history == caller.history
        assert state.ledger.overdrawn == 0

    async def test_two_racing_claims_make_one_holder(self, fleet, daemon, other):
        third = await fleet.add("a3")
        caller = await start(fleet, daemon)
        await caller.ask(daemon, "one")
        await daemon.kill()
        fleet.retire("a1")
        other.membership.owner = lambda program: other.membership.table.find("a2")
        third.membership.owner = lambda program: third.membership.table.find("a3")
        work = [one.serve(caller.call("two")) for one in (other, third)]
        results = await fleet.run(asyncio.gather(*work, return_exceptions=True))
        assert sorted(type(one) for one in results if one) == [Refusal]
        assert len(fleet.engine.runs) == 2


class TestLogDown:
    async def test_turns_within_the_draw_continue_and_are_journaled_later(
        self, fleet, daemon, other
    ):
        caller = await start(fleet, daemon)
        await caller.ask(daemon, "one", tokens=20)
        fleet.log.down = True
        for text in ("two", "three"):
            exchange = await caller.ask(daemon, text, tokens=20)
            assert not exchange.journaled
        assert daemon.programs.explain(caller.program).unjournaled == 2
        fleet.log.down = False
        await fleet.settle(60.0)
        for one in (daemon, other):
            state = one.programs.journal.program(caller.program)
            assert state.history == caller.history
        assert daemon.programs.explain(caller.program).unjournaled == 0

    async def test_unjournaled_turns_survive_a_daemon_failure(
        self, fleet, daemon, other
    ):
        caller = await start(fleet, daemon)
        fleet.log.down = True
        for text in ("one", "two"):
            await caller.ask(daemon, text, tokens=20)
        await daemon.kill()
        fleet.retire("a1")
        call = caller.call("three", tokens=20)
        refusal = await refused(fleet, other.serve(call))
        assert (refusal.code, refusal.ran) == ("journal_unavailable", Ran.NO)
        assert refusal.retry_after
        fleet.log.down = False
        await fleet.settle(60.0)
        await caller.ask(other, "three", tokens=20)
        state = other.programs.journal.program(caller.program)
        assert (state.turn, state.history) == (3, caller.history)

    async def test_new_owner_collects_copies_from_all_peers(self, fleet, daemon):
        peers = [await fleet.add(name) for name in ("a2", "a3", "a4")]
        caller = await start(fleet, daemon)
        fleet.log.down = True
        await caller.ask(daemon, "one", tokens=20)
        await daemon.kill()
        stream = "journal.riga-a"
        (owner,) = [
            one for one in peers if not one.programs.peer_records.records(stream)
        ]
        owner.membership.owner = lambda program: owner.membership.table.find(
            owner.incarnation
        )
        fleet.log.down = False
        await fleet.settle(30.0)
        await caller.ask(owner, "two", tokens=20)
        state = owner.programs.journal.program(caller.program)
        assert (state.turn, state.history) == (2, caller.history)

    async def test_program_created_in_an_outage_survives_a_daemon_failure(
        self, fleet, daemon, other
    ):
        fleet.log.down = True
        caller = await start(fleet, daemon)
        await caller.ask(daemon, "one", tokens=20)
        await daemon.kill()
        fleet.retire("a1")
        fleet.log.down = False
        await caller.ask(other, "two", tokens=20)
        state = other.programs.journal.program(caller.program)
        assert (state.turn, state.history) == (2, caller.history)

    async def test_further_draw_is_refused_at_once(self, fleet, daemon):
        caller = await start(fleet, daemon)
        fleet.log.down = True
        await caller.ask(daemon, "one", tokens=20)
        call = caller.call("two", tokens=2_000)
        before = fleet.clock.time
        refusal = await refused(fleet, daemon.serve(call))
        assert (refusal.code, refusal.ran) == ("journal_unavailable", Ran.NO)
        assert fleet.clock.time - before < 0.2

    async def test_unjournaled_turns_are_bounded(self, fleet, daemon):
        caller = await start(fleet, daemon)
        fleet.log.down = True
        for turn in range(MAX_UNJOURNALED_PER_PROGRAM):
            await caller.ask(daemon, str(turn), tokens=2)
        refusal = await refused(fleet, daemon.serve(caller.call("x", tokens=2)))
        assert (refusal.code, refusal.ran) == ("journal_unavailable", Ran.NO)

    async def test_stop_copies_records_to_peers(self, fleet, daemon, other):
        caller = await start(fleet, daemon)
        daemon.peers.cut = True
        fleet.log.down = True
        await caller.ask(daemon, "one", tokens=20)
        daemon.peers.cut = False
        await fleet.run(daemon.programs.stop())
        held = other.programs.peer_records.records("journal.riga-a")
        assert [record.turn for record in held] == [0]

    @pytest.mark.parametrize("fault_name", ["lose_answers", "lose_requests", "late"])
    async def test_lost_log_answers_do_not_change_the_state(
        self, fleet, daemon, fault_name
    ):
        caller = await start(fleet, daemon)
        for text in ("one", "two", "three"):
            setattr(fleet.log, fault_name, 1)
            await caller.ask(daemon, text)
            fleet.log.release_late()
        await fleet.settle(20.0)
        state = daemon.programs.journal.program(caller.program)
        assert (state.turn, state.spent.tokens) == (3, 300)
        assert state.history == caller.history


class TestSnapshots:
    async def test_new_daemon_loads_programs_older_than_retention(self, fleet, daemon):
        caller = await start(fleet, daemon)
        await caller.ask(daemon, "one")
        fleet.clock.advance(2_000.0)
        await fleet.settle(10.0)
        fleet.log.streams["journal.riga-a"] = fleet.log.streams["journal.riga-a"][-1:]
        fleet.log.retention = 100
        fresh = await fleet.add("a2")
        await fleet.settle(5.0)
        await daemon.kill()
        fleet.retire("a1")
        await caller.ask(fresh, "two")
        state = fresh.programs.journal.program(caller.program)
        assert (state.turn, state.history) == (2, caller.history)

    async def test_daemon_disconnected_longer_than_retention_reloads_programs(
        self, fleet, daemon, other
    ):
        caller = await start(fleet, daemon)
        await caller.ask(daemon, "one")
        await fleet.settle(1.0)
        other.log.cut = True
        await caller.ask(daemon, "two")
        fleet.clock.advance(2_000.0)
        await fleet.settle(10.0)
        journal = fleet.log.streams["journal.riga-a"]
        del journal[:-1]
        fleet.log.retention = 100
        other.log.cut = False
        await fleet.settle(60.0)
        await daemon.kill()
        fleet.retire("a1")
        await caller.ask(other, "three")
        state = other.programs.journal.program(caller.program)
        assert (state.turn, state.history) == (3, caller.history)


class TestFigures:
    async def test_log_use_of_a_turn_and_loss_of_a_kill(self):
        """Print log use per turn and tokens forfeited per kill (`pytest -s`)."""
        limits = ProgramLimits(tokens=400_000, turns=100, age=1e6)
        fleet = Fleet(limits)
        daemon, other = await fleet.add("a1"), await fleet.add("a2")
        caller = await start(fleet, daemon)
        await fleet.settle(2.0)
        journal = fleet.log.streams["journal.riga-a"]
        before = len(journal), sum(len(entry.data) for entry in journal)
        turns, text = 20, "x" * 1_600
        for turn in range(turns):
            await caller.ask(daemon, text, tokens=2_000 + 500 * turn)
            await fleet.settle(2.0)
        entries = len(journal) - before[0]
        size = sum(len(entry.data) for entry in journal) - before[1]
        await daemon.kill()
        fleet.retire("a1")
        await caller.ask(other, text, tokens=12_000)
        lost = other.programs.journal.program(caller.program).ledger.forfeited.tokens
        print(
            f"\nrecords/turn={entries / turns:.2f} bytes/turn={size / turns:.0f} "
            f"message-bytes/turn={len(text)} forfeited/kill={lost} of {limits.tokens}"
        )
        assert entries <= 2 * turns
        assert size / turns < 2 * len(text) + 2_000
        assert lost <= limits.tokens / 10
        await fleet.stop()
