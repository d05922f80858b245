"""The daemons that keep the draws without the log of a program, as they change."""

import contextlib

import pytest

from budget_model import ModelFleet
from eelgrasslock.allowances.offline import offline_limit
from eelgrasslock.exceptions import LogUnavailable, Refusal
from memory_log import RETENTION, TURN_TOKENS, run_turn
from offline_group import (
    daemons_of,
    pass_time,
    program_kept_in,
    start_fleet,
    turns_until_refused,
)


class TestSecondShare:
    """The share without the log must not be given again by who can't know."""

    @pytest.mark.parametrize("turns", [2, 3, 8, 20])
    async def test_domains_that_are_cut_off_in_turn(self, turns):
        """A looping program spent 2,574 of 1,683 tokens over a cut and a return."""
        budget = turns * TURN_TOKENS
        for program in ("p1", "p2", "p3", "p4", "p5", "p6"):
            fleet = await start_fleet("abc", 2)
            spent = 0
            for cut_off in "abc":
                fleet.cut_off.add(cut_off)
                for domain in (cut_off, "abc"):
                    spent += await turns_until_refused(
                        daemons_of(fleet, domain), budget, TURN_TOKENS, program
                    )
                fleet.cut_off.clear()
            assert spent <= budget + TURN_TOKENS

    @pytest.mark.parametrize("turns", [2, 3, 8, 20])
    async def test_a_domain_cut_off_in_an_outage(self, turns):
        """A looping program spent 2,266, another one 1,980 tokens of 1,144 and 572.

        All together gave it tokens, and then the domain that was cut off.
        """
        budget = turns * TURN_TOKENS
        for program in ("p1", "p2", "p3", "p4", "p5", "p6"):
            fleet = await start_fleet("abc", 2)
            fleet.is_log_down = True
            spent = 0
            for cut_off in ({"a"}, {"b"}, set(), {"c"}):
                fleet.cut_off = cut_off
                for domain in "abc":
                    spent += await turns_until_refused(
                        daemons_of(fleet, domain), budget, TURN_TOKENS, program
                    )
                await pass_time(fleet, 1.0)
            fleet.cut_off, fleet.is_log_down = set(), False
            await pass_time(fleet, 4.0)
            spent += await turns_until_refused(
                daemons_of(fleet), budget, TURN_TOKENS, program
            )
            assert spent <= budget + TURN_TOKENS

    @pytest.mark.parametrize("turns", [2, 3, 8])
    async def test_a_return_after_all_daemons_died(self, turns):
        """Looping programs spent 1,980 of 1,122 and 2,607 of 1,683 tokens."""
        budget = turns * TURN_TOKENS
        fleet = await start_fleet("abc", 2)
        program = program_kept_in(fleet, "a")
        fleet.cut_off.add("a")
        spent = 0
        for domain in "ab":
            spent += await turns_until_refused(
                daemons_of(fleet, domain), budget, TURN_TOKENS, program
            )
        fleet.cut_off.clear()
        fleet.kill(daemons_of(fleet))
        await pass_time(fleet, 5.0)
        fleet.is_log_down = True
        spent += await turns_until_refused(
            daemons_of(fleet), budget, TURN_TOKENS, program
        )
        assert spent <= budget + TURN_TOKENS

    @pytest.mark.parametrize("turns", [2, 8])
    async def test_daemons_that_know_all_draws_give_the_share(self, turns):
        budget = turns * TURN_TOKENS
        fleet = await start_fleet(is_first_start=False)
        daemons = daemons_of(fleet)
        fleet.is_log_down = True
        assert await turns_until_refused(daemons, budget, TURN_TOKENS) == 0
        fleet.clock.advance(RETENTION)
        spent = await turns_until_refused(daemons, budget, TURN_TOKENS)
        assert spent == offline_limit(budget, TURN_TOKENS)


class TestKeepers:
    """Who gives tokens, as daemons come and go."""

    @pytest.mark.parametrize("domain", ["a", "b", "c"])
    async def test_only_the_keepers_domain_gives_while_it_is_cut_off(self, domain):
        fleet = await start_fleet("abc", 2)
        program = program_kept_in(fleet, "a")
        fleet.is_log_down = True
        fleet.cut_off.add(domain)
        spent = {
            one: await turns_until_refused(
                daemons_of(fleet, one), 800, TURN_TOKENS, program
            )
            for one in "abc"
        }
        connected = {"a"} if domain == "a" else {"a", "b", "c"} - {domain}
        assert {one for one, tokens in spent.items() if tokens} <= connected
        assert sum(spent.values()) == 400

    async def test_one_restart_after_the_other_loses_no_keeper(self):
        """A restarted daemon counts again once the others have told it all."""
        fleet = await start_fleet()
        program = program_kept_in(fleet, "a")
        fleet.is_log_down = True
        spent = await turns_until_refused(
            daemons_of(fleet), 800, TURN_TOKENS, program, most=2
        )
        fleet.is_log_down = False
        for name in sorted(fleet.daemons):
            fleet.kill([fleet.daemons[name]])
            await pass_time(fleet, 5.0)
        assert all(one.keepers.transfer.is_informed for one in daemons_of(fleet))
        fleet.is_log_down = True
        spent += await turns_until_refused(daemons_of(fleet), 800, TURN_TOKENS, program)
        assert spent == 400

    async def test_a_majority_that_forgot_gives_nothing(self):
        fleet = await start_fleet()
        fleet.kill(daemons_of(fleet)[:2])
        await pass_time(fleet, 5.0)
        fleet.is_log_down = True
        assert await turns_until_refused(daemons_of(fleet), 800, TURN_TOKENS) == 0

    async def test_daemons_that_stop_one_after_the_other_tell_what_they_keep(self):
        fleet = await start_fleet()
        daemons = daemons_of(fleet)
        fleet.is_log_down = True
        spent = await turns_until_refused(daemons, 800, TURN_TOKENS)
        fleet.is_log_down = False
        for daemon in daemons[:2]:
            await daemon.leave()
            await pass_time(fleet, 1.0)
        fleet.is_log_down = True
        spent += await turns_until_refused(daemons[2:], 800, TURN_TOKENS)
        assert spent == 400

    async def test_a_daemon_that_has_not_read_of_a_keeper_gives_nothing(self):
        """Guards against majorities of two views that do not meet.

        One daemon takes the only keeper that it knows for all of them. As that one
        restarts, the other keeper tells it all, but for what it was never told.
        """
        budget = 8 * TURN_TOKENS
        fleet = await start_fleet("ab", 2)
        program = program_kept_in(fleet, "a")
        late, known_keeper = fleet.daemons["b-0"], fleet.daemons["a-1"]
        await fleet.daemons["a-0"].leave()
        await pass_time(fleet, 1.0)
        fleet.cut_off.add("b")
        fleet.start("a-0", "a", False)
        await pass_time(fleet)
        fleet.is_log_down = True
        fleet.cut_off.clear()
        spent = await turns_until_refused([late], budget, TURN_TOKENS, program)
        fleet.kill([late, known_keeper])
        fleet.is_log_down = False
        await pass_time(fleet, 5.0)
        spent += await turns_until_refused(
            daemons_of(fleet), budget, TURN_TOKENS, program
        )
        assert spent <= budget + TURN_TOKENS

    async def test_daemons_that_start_as_the_log_goes_give_one_share(self):
        """Daemons that had not read each other's entry each gave a turn."""
        fleet = await start_fleet(daemons_per_domain=1)
        for number in (1, 2):
            fleet.start(f"a-{number}", "a", True)
        for daemon in daemons_of(fleet)[1:]:
            await daemon.step()
        fleet.is_log_down = True
        await pass_time(fleet, 1.0)
        daemons = daemons_of(fleet)
        spent = 0
        for daemon in daemons:
            spent += await turns_until_refused([daemon], 800, TURN_TOKENS)
        assert spent <= 400

    async def test_domains_that_start_as_the_log_goes_give_one_share(self):
        """Each daemon took its own domain for the only one: 5 turns of 2."""
        for program in ("p1", "p2", "p3", "p4", "p5", "p6"):
            fleet = ModelFleet(1, domains="", daemons_per_domain=0)
            spent = 0
            for domain in "abc":
                fleet.start(f"{domain}-0", domain, True)
                with contextlib.suppress(LogUnavailable):
                    await fleet.daemons[f"{domain}-0"].step()
            fleet.is_log_down = True
            await pass_time(fleet, 2.0)
            for daemon in daemons_of(fleet):
                spent += await turns_until_refused([daemon], 800, TURN_TOKENS, program)
            assert spent <= 400

    async def test_the_domain_of_a_daemon_that_restarts_keeps_its_programs(self):
        fleet = await start_fleet("ab", 1)
        program = program_kept_in(fleet, "a")
        other = fleet.daemons["b-0"]
        await fleet.daemons["a-0"].leave()
        await pass_time(fleet, 1.0)
        assert not other.coordinator.daemon_registry.entries
        assert other.keepers.keeper_map.keepers(program).domain == "a"
        fleet.is_log_down = True
        assert await turns_until_refused([other], 800, TURN_TOKENS, program) == 0

    async def test_what_is_kept_is_bounded(self, monkeypatch):
        monkeypatch.setattr("eelgrasslock.allowances.kept_draws.MAX_PROGRAMS", 2)
        fleet = await start_fleet()
        fleet.is_log_down = True
        spent = [
            await turns_until_refused(daemons_of(fleet), 200, TURN_TOKENS, f"p{one}")
            for one in range(3)
        ]
        assert spent == [100, 100, 0]

    async def test_calls_to_keepers_are_limited(self):
        """Without a limit, 82 daemons sent 29,000 queries per second in an outage."""
        fleet = await start_fleet()
        daemon = daemons_of(fleet)[0]
        fleet.is_log_down = True
        daemon.keepers.limiter.take_now(145)
        spent = [
            await turns_until_refused([daemon], 200, TURN_TOKENS, f"p{one}")
            for one in range(2)
        ]
        assert spent == [100, 0]
        await pass_time(fleet, 1.0)
        assert await turns_until_refused([daemon], 200, TURN_TOKENS, "p1") == 100


class TestWholeBudget:
    """Beyond what the log hands out by itself, the keepers are asked first."""

    async def test_a_program_gets_its_whole_budget_in_calm(self):
        fleet = await start_fleet("abc", 2)
        for turns in (1, 2, 3, 8, 20):
            budget = turns * TURN_TOKENS
            spent = await turns_until_refused(
                daemons_of(fleet), budget, TURN_TOKENS, f"p{turns}"
            )
            assert spent == budget

    async def test_nothing_is_refused_as_spent_that_may_be_left(self):
        """A refusal with 402 ends a program; without the keepers it is 503."""
        fleet = await start_fleet("abc", 1)
        program = program_kept_in(fleet, "a")
        fleet.daemons["a-0"].alive = False
        daemon = fleet.daemons["b-0"]
        spent = await turns_until_refused([daemon], 800, TURN_TOKENS, program)
        assert spent == 500
        with pytest.raises(Refusal) as refusal:
            await run_turn(daemon.allowances, 800, TURN_TOKENS, program)
        assert refusal.value.status == 503
