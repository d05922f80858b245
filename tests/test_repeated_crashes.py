"""Requests that end engines and come back as other ones; engines are processes."""

import asyncio
import random
import time
from collections import defaultdict

import pytest

from crashing_engine import CRASHING, CrashingProcess
from eelgrasslock.http.errors import ConnectionBroken
from eelgrasslock.http.pool import ConnectFailed
from platform_fleet import LOOKUPS, TURNS, PlatformFleet, wait_until

ENGINES = 9
RETURN_SECONDS = 0.8
SEND_SECONDS = 0.35
REPEATED_SECONDS = 9.0
STABLE_WINDOW_SECONDS = 4.0
# The rule allows three more once the third end is that long past.
ALLOWED_LATE = 3
# A refusal as crashing was 422 at times, which tells its caller that it is at fault.
STATUSES = {0, 200, 429, 500, 502, 503, 504}
SOUND_SECONDS = 0.2
SOUND_SHARE = 0.9


class CrashingProcesses:
    """Three daemons, engines as processes, and a request that is repeated."""

    def __init__(self, fleet, seed=1):
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.ends = defaultdict(list)
        self.statuses = []
        self.sound = []
        self.tasks = []
        self.numbers = iter(range(1_000_000))

    async def start(self, service, **shape):
        started = [self.start_engine(service, **shape) for _ in range(ENGINES)]
        await asyncio.gather(*started)
        for domain in "abc":
            await self.fleet.ready_daemon([], name=f"{domain}-1", domain=domain)
        registries = [one.application.endpoint_registry for one in self.fleet.daemons]
        await wait_until(lambda: all(len(one.entries) == ENGINES for one in registries))

    async def start_engine(self, service, **shape):
        engine = CrashingProcess(self.next_id(), **shape)
        await engine.start()
        self.fleet.stack.push_async_callback(engine.kill)
        self.fleet.register(engine, service, born=round(time.time() * 1_000))
        self.tasks.append(asyncio.create_task(self.keep_running(engine, service)))

    async def keep_running(self, engine, service):
        while path := await engine.read_cause():
            self.ends[path].append(time.monotonic())
            while path := await engine.read_cause():
                self.ends[path].append(time.monotonic())
            await engine.process.wait()
            await asyncio.sleep(RETURN_SECONDS)
            self.fleet.unregister(engine)
            engine.id, engine.address = self.next_id(), ""
            await engine.start()
            self.fleet.register(engine, service, born=round(time.time() * 1_000))

    def next_id(self):
        return f"p-{next(self.numbers)}"

    async def send(self, statuses, path, method, body, headers):
        daemon = self.rng.choice(self.fleet.daemons)
        try:
            async with asyncio.timeout(3.5):
                call = self.fleet.call(daemon, path, method, body, **headers)
                statuses.append((await call)[0])
        except (ConnectionBroken, ConnectFailed, TimeoutError):
            statuses.append(0)

    async def repeat(self, make, copies=1, seconds=REPEATED_SECONDS):
        """Send requests again and again, each as `make` returns it."""
        until = time.monotonic() + seconds
        sent = []
        while time.monotonic() < until:
            for copy in range(copies):
                request = make(next(self.numbers), copy)
                sent.append(asyncio.create_task(self.send(self.statuses, *request)))
            await asyncio.sleep(SEND_SECONDS)
        await asyncio.gather(*sent)

    async def send_sound(self, make):
        """Send sound requests all the while, each a new one."""
        while True:
            request = make(next(self.numbers))
            task = asyncio.create_task(self.send(self.sound, *request))
            self.tasks.append(task)
            await asyncio.sleep(SOUND_SECONDS)

    def check(self):
        """Check that engines ran no request for long once it had ended three."""
        assert self.ends, self.statuses
        assert set(self.statuses) <= STATUSES, self.statuses
        for path, ends in self.ends.items():
            late = [at for at in ends if at > ends[:3][-1] + STABLE_WINDOW_SECONDS]
            assert len(late) <= ALLOWED_LATE, (path, len(ends), len(late))

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def turn(path, body, program):
    headers = {
        "Program_Id": program,
        "Session_Id": "s",
        "Token_Budget": 100_000,
        "Token_Usage": "100,220",
        "Prompt_Prefix": "5c1e:90,91bd:10",
    }
    return f"{TURNS}{path}", "POST", body, headers


def lookup(path, body=b""):
    return f"{LOOKUPS}{path}", "POST" if body else "GET", body, {}


def turn_of_another_program(number, copy):
    return turn(f"{CRASHING}{copy}", b"same", f"p{number}")


def turn_with_another_body(number, copy):
    return turn(f"{CRASHING}{copy}", b"body %d" % number, f"p{number}")


def lookup_of_another_program(number, copy):
    path, method, body, _ = lookup(f"{CRASHING}{copy}", b"same")
    return path, method, body, {"Program_Id": f"p{number}"}


def lookup_with_another_body(number, copy):
    return lookup(f"{CRASHING}{copy}", b"body %d" % number)


def lookup_with_another_query(number, copy):
    return lookup(f"{CRASHING}{copy}?n={number}")


@pytest.fixture
async def crashing():
    async with PlatformFleet() as fleet:
        one = CrashingProcesses(fleet)
        yield one
        await one.stop()


class TestComesBackAsAnother:
    """Its crashes were those of as many requests, each below the limit."""

    @pytest.mark.parametrize(
        ("service", "make"),
        [
            ("models", turn_of_another_program),
            ("models", turn_with_another_body),
            ("desk", lookup_of_another_program),
            ("desk", lookup_with_another_body),
            ("desk", lookup_with_another_query),
        ],
    )
    async def test_it_is_not_passed_on_for_ever(self, crashing, service, make):
        await crashing.start(service, events=8 if service == "models" else 0)
        await crashing.repeat(make)
        crashing.check()

    async def test_sound_requests_are_served_meanwhile(self, crashing):
        """Most that were refused had only run beside it."""
        await crashing.start("models", events=8, event_seconds=0.05)
        beside = crashing.send_sound(
            lambda number: turn(f"s{number}", b"s", f"s{number}")
        )
        crashing.tasks.append(asyncio.create_task(beside))
        await crashing.repeat(turn_with_another_body)
        crashing.check()
        refused = [one for one in crashing.sound if one == 503]
        assert len(refused) <= (1 - SOUND_SHARE) * len(crashing.sound)


class TestUnusualEnds:
    """Ends that the request which caused them does not see."""

    @pytest.mark.parametrize("way", ["error_first", "answer_first"])
    async def test_an_engine_that_answers_first_is_ended_by_what_it_ran(
        self, crashing, way
    ):
        """The answer cleared the request of all ends before."""
        await crashing.start("desk", way=way)
        await crashing.repeat(lambda number, copy: lookup(CRASHING, b"same"))
        crashing.check()

    @pytest.mark.parametrize(
        ("service", "make"),
        [("models", turn_with_another_body), ("desk", lookup_with_another_body)],
    )
    async def test_an_engine_whose_port_lives_longer_has_ended(
        self, crashing, service, make
    ):
        """Several that came at once hid each other."""
        await crashing.start(
            service, way="lingering", events=8 if service == "models" else 0
        )
        await crashing.repeat(make, copies=6, seconds=14.0)
        crashing.check()
