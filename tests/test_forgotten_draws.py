"""Programs that loop, where somebody does not know what they were given before."""

import asyncio

import pytest

from platform_fleet import MAX_TURN_TOKENS, PlatformFleet, wait_until

EVENTS = MAX_TURN_TOKENS // 22
OUTAGE_NOTICE_SECONDS = 1.0
MAX_ANSWERS = 80


class Looper:
    """A program that takes turns until it is refused several times."""

    def __init__(self, fleet, id, turns):
        self.fleet = fleet
        self.id = id
        self.budget = turns * MAX_TURN_TOKENS
        self.tokens = 0
        self.statuses = []

    async def turn(self, daemon):
        status, body = await self.fleet.turn(daemon, self.id, budget=self.budget)
        self.statuses.append(status)
        self.tokens += body.count(b"data:") * 22
        return status

    async def run(self, daemons, refusals=3, most=MAX_ANSWERS):
        for number in range(most):
            if await self.turn(daemons[number % len(daemons)]) != 200:
                refusals -= 1
                await asyncio.sleep(0.05)
            if not refusals:
                return

    def check(self):
        excess = self.tokens - self.budget
        assert excess <= MAX_TURN_TOKENS, (self.id, self.tokens, self.statuses)


class LoopingFleet(PlatformFleet):
    """Two daemons in each of three failure domains, known to each other."""

    async def start(self):
        engine = await self.endpoint("models", events=EVENTS)
        self.engines = [engine]
        for domain in "abc":
            for number in (1, 2):
                await self.start_daemon(f"{domain}-{number}", True)
        await wait_until(
            lambda: all(
                one.application.draw_keepers.transfer.is_informed
                for one in self.daemons
            )
        )

    async def start_daemon(self, name, is_first_start=False):
        daemon = await self.ready_daemon(
            self.engines, name=name, domain=name[0], is_first_start=is_first_start
        )
        daemon.name = name
        return daemon

    async def set_log(self, refusing):
        for daemon in self.daemons:
            daemon.faults.refusing = refusing
        await asyncio.sleep(OUTAGE_NOTICE_SECONDS if refusing else 0.0)

    async def restart(self, daemon, is_planned):
        """Stop a daemon, and start it again under its name."""
        self.daemons.remove(daemon)
        application = daemon.application
        if is_planned:
            await application.drain()
        else:
            daemon.faults.refusing = "reset"
        await application.stop()
        return await self.start_daemon(daemon.name)


@pytest.fixture
async def fleet():
    async with LoopingFleet() as one:
        await one.start()
        yield one


class TestForgottenDraws:
    async def test_draws_just_after_an_outage_count_what_was_given_in_it(
        self, fleet, monkeypatch
    ):
        """Programs got 26 turns of 20, as nothing given was recorded yet."""
        monkeypatch.setattr(
            "eelgrasslock.allowances.maintenance.RECORD_INTERVAL_SECONDS", 3.0
        )
        await asyncio.sleep(0.5)
        loopers = [Looper(fleet, f"p{number}", 20) for number in range(4)]
        await fleet.set_log("busy")
        await asyncio.gather(*(one.run(fleet.daemons) for one in loopers))
        assert all(one.tokens > 4 * MAX_TURN_TOKENS for one in loopers)
        await fleet.set_log("")
        await asyncio.sleep(0.6)
        await asyncio.gather(*(one.run(fleet.daemons) for one in loopers))
        for one in loopers:
            one.check()

    async def test_a_spent_program_that_returns_after_a_restart_gets_nothing(
        self, fleet
    ):
        """A program got 12 turns of 8: the restarted daemon alone had known."""
        looper = Looper(fleet, "p", 8)
        first, *others = fleet.daemons
        await looper.run([first])
        assert looper.tokens == looper.budget
        await fleet.restart(first, is_planned=True)
        await asyncio.sleep(1.0)
        await fleet.set_log("busy")
        await looper.run(others)
        looper.check()

    async def test_what_a_killed_daemon_gave_is_not_given_again(self, fleet):
        """A program got 12 turns of 8: what it was given died with a daemon."""
        looper = Looper(fleet, "p", 8)
        first, *others = fleet.daemons
        await fleet.set_log("busy")
        await looper.run([first])
        assert looper.tokens >= 4 * MAX_TURN_TOKENS
        fleet.daemons.remove(first)
        await first.application.stop()
        await fleet.set_log("")
        await asyncio.sleep(0.6)
        await looper.run(others)
        looper.check()
        assert looper.tokens >= 5 * MAX_TURN_TOKENS
