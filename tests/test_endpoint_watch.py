import random

import aiohttp
import aiohttp.test_utils
import aiohttp.web
import pytest

from eelgrasslock.clock import ManualClock, SystemClock
from eelgrasslock.configuration.settings import (
    Configuration,
    EndpointSettings,
    ServiceKind,
    ServiceSettings,
)
from eelgrasslock.endpoints.endpoint_failure import EndpointFailure
from eelgrasslock.endpoints.endpoint_watch import LOAD_SOURCE, VM_SOURCE, EndpointWatch
from eelgrasslock.endpoints.engine_client import EngineClient
from eelgrasslock.endpoints.vm_list import VM, VMKind, VMListUnavailable, VMState
from eelgrasslock.endpoints.weight_client import WeightClient
from standin_servers import StandinServers


class FakeConfigurations:
    def __init__(self, current):
        self.current = current
        self.callbacks = []

    def on_change(self, callback):
        self.callbacks.append(callback)


class FakeObserver:
    def __init__(self):
        self.loads = []
        self.numbers = []
        self.leaving = {}

    def observe_load(self, endpoint, report):
        self.loads.append((endpoint, report.running))

    def observe_cache(self, endpoint, events):
        self.numbers += [event.number for event in events]

    def mark_leaving(self, endpoint, leaving, source):
        self.leaving[endpoint, source] = leaving


class FakeVMList:
    def __init__(self):
        self.states = {}
        self.down = False

    async def fetch(self):
        if self.down:
            raise VMListUnavailable("down")
        return [
            VM(
                name=f"vm-{endpoint}",
                address="127.0.0.1",
                domain="riga-a",
                kind=VMKind.ENDPOINT,
                endpoint=endpoint,
                state=state,
            )
            for endpoint, state in self.states.items()
        ]


def configuration(**urls):
    return Configuration(
        deployment="riga",
        domains=["riga-a"],
        services={"s": ServiceSettings(kind=ServiceKind.ENGINE)},
        endpoints={
            name: EndpointSettings(service="s", domain="riga-a", url=url)
            for name, url in urls.items()
        },
    )


class Bench:
    """A watch with fakes around it, before a stand-in engine."""

    def __init__(self, url, clock=None):
        self.configurations = FakeConfigurations(configuration(e1=url))
        self.observer = FakeObserver()
        self.vm_list = FakeVMList()
        self.engines = EngineClient(SystemClock())
        self.watch = EndpointWatch(
            self.configurations,
            self.observer,
            self.engines,
            self.vm_list,
            clock or ManualClock(),
            random.Random(1),
        )

    async def __aenter__(self):
        await self.watch.start()
        return self

    async def __aexit__(self, *details):
        await self.watch.stop()
        await self.engines.stop()


@pytest.fixture
async def servers():
    async with StandinServers() as started:
        yield started


class TestEndpointWatch:
    async def test_each_source_tells_of_leaving_while_the_other_is_down(self, servers):
        engine = await servers.engine()
        async with Bench(engine.url) as bench:
            bench.vm_list.down = True
            engine.faults.leaving = True
            await bench.watch.look("e1")
            await bench.watch.look_at_vms(bench.vm_list)
            assert bench.observer.leaving == {("e1", LOAD_SOURCE): True}
            engine.faults.load_down = True
            bench.vm_list.down = False
            bench.vm_list.states = {"e1": VMState.LEAVING}
            await bench.watch.look("e1")
            await bench.watch.look_at_vms(bench.vm_list)
            assert bench.observer.leaving["e1", VM_SOURCE] is True
            assert bench.observer.leaving["e1", LOAD_SOURCE] is True

    async def test_an_endpoint_that_is_no_longer_listed_leaves(self):
        async with Bench("http://127.0.0.1:9") as bench:
            bench.vm_list.states = {"e1": VMState.LIVE, "e2": VMState.LIVE}
            await bench.watch.look_at_vms(bench.vm_list)
            assert bench.observer.leaving["e1", VM_SOURCE] is False
            bench.vm_list.states = {"e2": VMState.LIVE}
            await bench.watch.look_at_vms(bench.vm_list)
            assert bench.observer.leaving["e1", VM_SOURCE] is True
            assert bench.observer.leaving["e2", VM_SOURCE] is False

    async def test_an_empty_list_is_no_news(self):
        async with Bench("http://127.0.0.1:9") as bench:
            bench.vm_list.states = {"e1": VMState.LIVE}
            await bench.watch.look_at_vms(bench.vm_list)
            bench.vm_list.states = {}
            await bench.watch.look_at_vms(bench.vm_list)
            assert bench.observer.leaving["e1", VM_SOURCE] is False

    async def test_follows_cache_events_over_a_restart(self, servers):
        engine = await servers.engine()
        engine.faults.event_lag_seconds = 0.0
        engine.faults.event_loss = 0.0
        cache = engine.standin.core.cache
        async with Bench(engine.url) as bench:
            cache.store((1, 2))
            cache.store((3,))
            await bench.watch.look("e1")
            for _ in range(3):
                await bench.watch.look("e1")
            assert bench.observer.numbers == [1, 2]
            engine.standin.core.epoch = "restarted"
            cache.events.clear()
            cache._number = 0
            cache.store((4,))
            for _ in range(3):
                await bench.watch.look("e1")
            assert bench.observer.numbers == [1, 2, 1]

    async def test_backs_off_from_an_endpoint_that_fails(self):
        async with Bench("http://127.0.0.1:9") as bench:
            watched = bench.watch.watched["e1"]
            pauses = []
            for _ in range(8):
                await bench.watch.look("e1")
                pauses.append(bench.watch._pause(watched))
        assert pauses[0] < pauses[3] <= pauses[7] * 1.5
        assert max(pauses) <= 15.0 * 1.2

    async def test_follows_the_configuration(self, servers):
        engine = await servers.engine()
        async with Bench(engine.url) as bench:
            (callback,) = bench.configurations.callbacks
            callback(configuration(e2=engine.url))
            assert list(bench.watch.watched) == ["e2"]
            await bench.watch.look("e2")
        assert bench.observer.loads == [("e2", 0)]


class TestWeightClient:
    @pytest.mark.parametrize(("refused", "slept"), [(0, 0), (1, 1), (4, 4)])
    async def test_waits_as_long_as_the_store_asks(self, refused, slept):
        async with weight_store(refused) as server, aiohttp.ClientSession() as session:
            clock = SleepingClock()
            reader = WeightClient(
                str(server.make_url("")), session, clock, random.Random(1)
            )
            assert await reader.size("hydro") == 4
        assert len(clock.slept) == slept
        assert all(seconds >= 3.0 for seconds in clock.slept)

    async def test_gives_up_after_some_tries(self):
        async with weight_store(99) as server, aiohttp.ClientSession() as session:
            reader = WeightClient(
                str(server.make_url("")), session, SleepingClock(), random.Random(1)
            )
            with pytest.raises(EndpointFailure):
                await reader.size("hydro")


class SleepingClock(ManualClock):
    def __init__(self):
        super().__init__()
        self.slept = []

    async def sleep(self, seconds):
        self.slept.append(seconds)


def weight_store(refused):
    left = [refused]

    async def read(request):
        if left[0]:
            left[0] -= 1
            return aiohttp.web.Response(status=429, headers={"Retry-After": "3"})
        return aiohttp.web.Response(body=b"abcd")

    app = aiohttp.web.Application()
    app.router.add_get("/weights/{model}", read)
    return aiohttp.test_utils.TestServer(app)
