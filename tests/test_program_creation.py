"""Programs are created once, within limits, and under a parent."""

import asyncio

import pytest

from eelgrasslock.exceptions import Refusal
from eelgrasslock.programs.history import empty_history_digest, history_digest
from eelgrasslock.programs.journal_records import ProgramLimits
from fleet import Fleet, refused, start


@pytest.fixture
async def fleet():
    fleet = Fleet()
    yield fleet
    await fleet.stop()


@pytest.fixture
async def daemon(fleet):
    return await fleet.add("a1")


class TestCreation:
    async def test_repeated_key_returns_the_same_program(self, fleet, daemon):
        other = await fleet.add("a2")
        made = [
            await fleet.run(one.programs.create("key", "secret"))
            for one in (daemon, daemon, other)
        ]
        assert len({one.program for one in made}) == 1
        assert len(daemon.programs.journal.programs) == 1

    async def test_creation_returns_next_turn_and_digest(self, fleet, daemon):
        caller = await start(fleet, daemon, creation_key="key", secret="secret")
        first = await fleet.run(daemon.programs.create("key", "secret"))
        assert (first.turn, first.digest) == (0, empty_history_digest(caller.program))
        await caller.ask(daemon, "one")
        again = await fleet.run(daemon.programs.create("key", "secret"))
        digest = history_digest(caller.program, caller.history)
        assert (again.turn, again.digest) == (1, digest)

    async def test_racing_creations_make_one_program(self, fleet, daemon):
        other = await fleet.add("a2")
        tasks = [one.programs.create("key", "secret") for one in (daemon, other)]
        first, second = await fleet.run(asyncio.gather(*tasks))
        assert first.program == second.program
        assert len(daemon.programs.journal.programs) == 1

    async def test_unfinished_creation_is_completed_by_another_daemon(
        self, fleet, daemon
    ):
        other = await fleet.add("a2")
        daemon.programs.local_programs.stream = "nowhere"
        daemon.tail.follow("nowhere", lambda positioned: None)
        with pytest.raises(Refusal):
            await fleet.run(daemon.programs.create("key", "secret"))
        made = await fleet.run(other.programs.create("key", "secret"))
        await fleet.settle(1.0)
        state = other.programs.journal.program(made.program)
        assert state.holder == "a1"
        assert state.drawn.tokens == 0

    @pytest.mark.parametrize(
        ("secret", "limits", "code"),
        [
            ("other", None, "action_conflict"),
            ("secret", ProgramLimits(tokens=5, turns=1, age=1.0), "action_conflict"),
            ("", None, "secret_missing"),
        ],
    )
    async def test_key_used_for_another_program_is_refused(
        self, fleet, daemon, secret, limits, code
    ):
        await fleet.run(daemon.programs.create("key", "secret"))
        work = daemon.programs.create("key", secret, limits)
        assert (await refused(fleet, work)).code == code

    @pytest.mark.parametrize(
        "limits",
        [
            ProgramLimits(tokens=10_001, turns=1, age=1.0),
            ProgramLimits(tokens=0, turns=1, age=1.0),
            ProgramLimits(tokens=1, turns=1, age=2e6),
        ],
    )
    async def test_limits_out_of_range(self, fleet, daemon, limits):
        refusal = await refused(fleet, daemon.programs.create(limits=limits))
        assert refusal.code == "limits_out_of_range"


class TestSubAgents:
    async def test_budget_is_reserved_from_the_parent_and_the_rest_returned(
        self, fleet, daemon
    ):
        parent = await start(fleet, daemon)
        limits = ProgramLimits(tokens=4_000, turns=9, age=1e5)
        child = await start(fleet, daemon, parent=parent.program, limits=limits)
        ledger = daemon.programs.journal.program(parent.program).ledger
        assert ledger.shared.tokens == 4_000
        await child.ask(daemon, "one", tokens=300)
        await fleet.run(daemon.programs.end(child.program, "finished"))
        assert (ledger.shared.tokens, ledger.spent.tokens) == (0, 300)

    async def test_children_never_get_more_than_the_parent_has(self, fleet, daemon):
        parent = await start(fleet, daemon)
        limits = ProgramLimits(tokens=4_000, turns=9, age=1e5)
        made = [
            daemon.programs.create(parent=parent.program, limits=limits)
            for _ in range(4)
        ]
        results = await fleet.run(asyncio.gather(*made, return_exceptions=True))
        codes = [one.code for one in results if isinstance(one, Refusal)]
        assert codes == ["parent_budget", "parent_budget"]

    async def test_children_end_with_their_parent(self, fleet, daemon):
        parent = await start(fleet, daemon)
        child = await start(fleet, daemon, parent=parent.program)
        await fleet.run(daemon.programs.end(parent.program, "finished"))
        refusal = await refused(fleet, daemon.serve(child.call("one")))
        assert refusal.code == "program_ended"
        assert "parent" in refusal.sentence
