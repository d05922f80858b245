import asyncio
import json

import pytest

from eelgrasslock.exceptions import Ran, Refusal
from eelgrasslock.programs.history import history_digest
from eelgrasslock.programs.journal_records import ProgramLimits
from fleet import Fleet, model_call, refused, start, user


@pytest.fixture
async def fleet():
    fleet = Fleet()
    yield fleet
    await fleet.stop()


@pytest.fixture
async def daemon(fleet):
    return await fleet.add("a1")


class TestTurns:
    async def test_history_grows_turn_by_turn(self, fleet, daemon):
        caller = await start(fleet, daemon)
        for text in ("one", "two", "three"):
            exchange = await caller.ask(daemon, text)
            assert exchange.journaled
        state = daemon.programs.journal.program(caller.program)
        assert state.history == caller.history
        assert state.turn == 3
        assert state.digest == history_digest(caller.program, caller.history)
        assert state.ledger.overdrawn == 0

    async def test_restarted_caller_resumes(self, fleet, daemon):
        caller = await start(fleet, daemon)
        await caller.ask(daemon, "one")
        resumed = await fleet.run(daemon.programs.resume(caller.program))
        assert (resumed.turn, resumed.history) == (1, caller.history)

    async def test_calls_run_in_the_order_issued(self, fleet, daemon):
        caller = await start(fleet, daemon)
        fleet.engine.gate = asyncio.Event()
        first = asyncio.create_task(daemon.serve(caller.call("one")))
        await fleet.settle(1.0)
        history = [user("one"), {"role": "assistant", "content": "answer 1"}]
        messages = [*history, user("two")]
        second = model_call(caller.program, caller.secret, messages, 1)
        waiting = asyncio.create_task(daemon.serve(second))
        await fleet.settle(1.0)
        assert len(fleet.engine.runs) == 1
        fleet.engine.gate.set()
        await fleet.run(asyncio.wait_for(waiting, 5))
        await first
        assert second.responder.body == b"answer 2"

    async def test_repeat_gets_the_stored_answer_and_does_not_run(self, fleet, daemon):
        caller = await start(fleet, daemon)
        await caller.ask(daemon, "one")
        again = model_call(caller.program, caller.secret, [user("one")], 0)
        await fleet.run(daemon.serve(again))
        assert json.loads(again.responder.body)["id"] == "c1"
        assert len(fleet.engine.runs) == 1

    @pytest.mark.parametrize(
        ("messages", "turn", "code"),
        [
            ([user("other")], 0, "turn_mismatch"),
            ([user("one")], 5, "turn_mismatch"),
            ([user("other"), user("two")], 1, "history_mismatch"),
            ([user("one")], 1, "history_mismatch"),
            ([], 1, "history_mismatch"),
            ("text", 1, "bad_messages"),
        ],
    )
    async def test_call_on_another_history_is_refused_unrun(
        self, fleet, daemon, messages, turn, code
    ):
        caller = await start(fleet, daemon)
        await caller.ask(daemon, "one")
        call = model_call(caller.program, caller.secret, messages, turn)
        refusal = await refused(fleet, daemon.serve(call))
        assert (refusal.code, refusal.ran) == (code, Ran.NO)
        assert len(fleet.engine.runs) == 1

    async def test_repeat_as_events_is_whole(self, fleet, daemon):
        caller = await start(fleet, daemon)
        await caller.ask(daemon, "one")
        again = model_call(caller.program, caller.secret, [user("one")], 0, stream=True)
        await fleet.run(daemon.serve(again))
        events = again.responder.body.decode().split("\n\n")
        chunks = [json.loads(event[6:]) for event in events[:-2]]
        assert events[-2:] == ["data: [DONE]", ""]
        assert chunks[0]["choices"][0]["delta"]["content"] == "answer 1"
        assert chunks[1]["choices"][0]["finish_reason"] == "stop"
        assert chunks[1]["eelgrass"] == {"journaled": True}
        assert again.started


class TestSecrets:
    @pytest.mark.parametrize("secret", ["", "wrong"])
    async def test_wrong_secret_reads_and_runs_nothing(self, fleet, daemon, secret):
        caller = await start(fleet, daemon)
        call = model_call(caller.program, secret, [user("one")], 0)
        refusal = await refused(fleet, daemon.serve(call))
        assert refusal.code == "wrong_secret"
        assert not fleet.engine.runs

    @pytest.mark.parametrize("program", ["x", "riga-a~a1~0", "riga-a~a9~0"])
    async def test_unknown_program(self, fleet, daemon, program):
        call = model_call(program, "s", [user("one")], 0)
        refusal = await refused(fleet, daemon.serve(call))
        assert (refusal.code, refusal.ran) == ("unknown_program", Ran.NO)


class TestBudget:
    async def test_program_ends_when_its_tokens_are_used_up(self, fleet, daemon):
        caller = await start(fleet, daemon)
        for text in range(9):
            await caller.ask(daemon, str(text), tokens=1_000)
        refusal = await refused(fleet, daemon.serve(caller.call("more", tokens=1_200)))
        assert (refusal.code, refusal.ran) == ("budget_too_small", Ran.NO)
        await caller.ask(daemon, "last", tokens=1_000)
        refusal = await refused(fleet, daemon.serve(caller.call("x", tokens=2)))
        assert (refusal.code, refusal.status) == ("program_ended", 410)
        assert "token_limit" in refusal.sentence
        assert fleet.engine.tokens == 10_000

    @pytest.mark.parametrize(
        ("fault", "fault_tokens", "spent"),
        [
            (Refusal("busy", "Busy.", 429), 0, 0),
            (Refusal("broken", "Broken.", 502, Ran.UNKNOWN), 40, 40),
            (Refusal("broken", "Broken.", 502, Ran.NO), 40, 40),
        ],
    )
    async def test_failed_call_settles_what_it_used(
        self, fleet, daemon, fault, fault_tokens, spent
    ):
        caller = await start(fleet, daemon)
        fleet.engine.fault, fleet.engine.fault_tokens = fault, fault_tokens
        await refused(fleet, daemon.serve(caller.call("one")))
        await fleet.settle(1.0)
        state = daemon.programs.journal.program(caller.program)
        assert state.spent.tokens == spent

    async def test_cancelled_call_settles_its_worst_case(self, fleet, daemon):
        caller = await start(fleet, daemon)
        fleet.engine.gate = asyncio.Event()
        task = asyncio.create_task(daemon.serve(caller.call("one", tokens=77)))
        await fleet.settle(1.0)
        task.cancel()
        await fleet.settle(1.0)
        state = daemon.programs.journal.program(caller.program)
        assert state.spent.tokens == 77
        assert state.turn == 0

    async def test_hot_path_draws_ahead(self, fleet, daemon):
        caller = await start(fleet, daemon)
        for text in range(8):
            await caller.ask(daemon, str(text), tokens=500)
            await fleet.settle(1.0)
            ledger = daemon.programs.journal.program(caller.program).ledger
            assert ledger.drawn.tokens >= 500


class TestLimits:
    async def test_turn_limit_ends_the_program(self, fleet, daemon):
        limits = ProgramLimits(tokens=5_000, turns=2, age=1e5)
        caller = await start(fleet, daemon, limits=limits)
        await caller.ask(daemon, "one")
        await caller.ask(daemon, "two")
        refusal = await refused(fleet, daemon.serve(caller.call("three")))
        assert "turn_limit" in refusal.sentence
        assert daemon.programs.journal.program(caller.program).ended == "turn_limit"

    @pytest.mark.parametrize(
        ("age", "seconds", "reason"),
        [(100.0, 200.0, "age_limit"), (1e6, 30_000.0, "idle_limit")],
    )
    async def test_sweep_ends_old_and_idle_programs(
        self, fleet, daemon, age, seconds, reason
    ):
        limits = ProgramLimits(tokens=5_000, turns=2, age=age)
        caller = await start(fleet, daemon, limits=limits)
        fleet.clock.advance(seconds)
        await fleet.settle(12.0)
        assert daemon.programs.journal.program(caller.program).ended == reason

    async def test_call_under_way_when_the_program_ends_is_told_that_it_ran(
        self, fleet, daemon
    ):
        caller = await start(fleet, daemon)
        fleet.engine.gate = asyncio.Event()
        task = asyncio.create_task(daemon.serve(caller.call("one")))
        await fleet.settle(1.0)
        await fleet.run(daemon.programs.end(caller.program, "operator"))
        fleet.engine.gate.set()
        refusal = await refused(fleet, task)
        assert (refusal.code, refusal.ran) == ("program_ended", Ran.YES)
        state = daemon.programs.journal.program(caller.program)
        assert state.spent.tokens >= 100
