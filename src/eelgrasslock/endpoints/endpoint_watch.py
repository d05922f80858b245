"""The controller that asks endpoints and the platform how endpoints are."""

import asyncio
import random
from collections.abc import Callable
from typing import Protocol

from attrs import define
from loguru import logger

from eelgrasslock.clock import Clock
from eelgrasslock.configuration.settings import (
    Configuration,
    EndpointSettings,
    ServiceKind,
)
from eelgrasslock.endpoints.engine_client import EngineClient
from eelgrasslock.endpoints.vm_list import VM, VMState
from eelgrasslock.exceptions import EelgrassError
from eelgrasslock.scheduling.calls import CacheEvent, LoadReport

LOAD_SOURCE = "load report"
VM_SOURCE = "VM list"

_POLL_SECONDS = 1.0
_POLLS_PER_SECOND = 16.0
_VM_POLL_SECONDS = 2.0
_LOADS_PER_CACHE_LOOK = 3
_LONGEST_BACK_OFF_SECONDS = 15.0
_JITTER = 0.2
_UNHEARD = -1

log = logger.bind(part="endpoints")


class Configurations(Protocol):
    """The part of the configuration controller that is needed here."""

    @property
    def current(self) -> Configuration | None:
        """The configuration in force."""

    def on_change(self, callback: Callable[[Configuration], None]) -> None:
        """Call back with each new configuration."""


class Observer(Protocol):
    """The part of the scheduler that takes news of endpoints in."""

    def observe_load(self, endpoint: str, report: LoadReport) -> None:
        """Take in a load report."""

    def observe_cache(self, endpoint: str, events: list[CacheEvent]) -> None:
        """Take in cache events."""

    def mark_leaving(self, endpoint: str, leaving: bool, source: str) -> None:
        """Take in whether a source says that an endpoint leaves."""


class VMSource(Protocol):
    """The platform's VM list."""

    async def fetch(self) -> list[VM]:
        """Return the VMs, or raise an `EelgrassError`."""


@define
class WatchedEndpoint:
    """What is kept of one endpoint between two looks.

    Attributes
    ----------
    settings : EndpointSettings
        From the configuration.
    epoch : str
        The engine's last known epoch.
    last_event : int
        The number of the last cache event.
    looks : int
        How often its load was read.
    failures : int
        How many looks in a row have failed.
    """

    settings: EndpointSettings
    epoch: str = ""
    last_event: int = _UNHEARD
    looks: int = 0
    failures: int = 0


class EndpointWatch:
    """Reads load reports, cache events and the VM list, and tells the scheduler.

    The load report and the VM list each tell of leaving by themselves, so that
    one of them may be down. What a source said last holds until it says
    otherwise.

    Parameters
    ----------
    configuration : Configurations
        Tells which endpoints there are.
    scheduler : Observer
        Is told.
    engines : EngineClient
        Reads the reports.
    vm_list : VMSource or None
        The platform's VM list.
    clock : Clock
        The time.
    rng : random.Random
        Draws the jitter.
    on_news : callable
        Called after each piece of news.
    """

    def __init__(
        self,
        configuration: Configurations,
        scheduler: Observer,
        engines: EngineClient,
        vm_list: VMSource | None,
        clock: Clock,
        rng: random.Random,
        on_news: Callable[[], None] = lambda: None,
    ) -> None:
        self.configuration = configuration
        self.scheduler = scheduler
        self.engines = engines
        self.vm_list = vm_list
        self.clock = clock
        self.rng = rng
        self.on_news = on_news
        self.watched: dict[str, WatchedEndpoint] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._vm_task: asyncio.Task[None] | None = None
        self._listed: set[str] = set()
        self._running = False

    async def start(self) -> None:
        """Start watching."""
        self._running = True
        self.configuration.on_change(self._configure)
        if self.configuration.current is not None:
            self._configure(self.configuration.current)
        if self.vm_list is not None:
            self._vm_task = asyncio.create_task(self._watch_vms(self.vm_list))

    async def stop(self) -> None:
        """Stop watching."""
        self._running = False
        tasks = list(self._tasks.values())
        if self._vm_task is not None:
            tasks.append(self._vm_task)
        self._tasks = {}
        self._vm_task = None
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def look(self, name: str) -> None:
        """Read an endpoint's load once, and its cache events now and then."""
        watched = self.watched[name]
        try:
            await self._look(name, watched)
        except EelgrassError as error:
            if watched.failures == 0:
                log.info("{} gives no report: {}", name, type(error).__name__)
            watched.failures += 1
            return
        watched.failures = 0
        self.on_news()

    async def look_at_vms(self, vm_list: VMSource) -> None:
        """Read the VM list once.

        An endpoint that was listed and no longer is counts as leaving. A list
        without any endpoint is taken for a fault of the list.
        """
        try:
            machines = await vm_list.fetch()
        except EelgrassError as error:
            log.info("No VM list: {}", error)
            return
        states = {vm.endpoint: vm.state for vm in machines if vm.endpoint}
        if not states:
            return
        self._listed |= states.keys()
        for endpoint in self._listed:
            leaving = states.get(endpoint) is not VMState.LIVE
            self.scheduler.mark_leaving(endpoint, leaving, VM_SOURCE)
        self.on_news()

    async def _look(self, name: str, watched: WatchedEndpoint) -> None:
        url = watched.settings.url.rstrip("/")
        load = await self.engines.load(url)
        self.scheduler.observe_load(name, load.report)
        self.scheduler.mark_leaving(name, load.leaving, LOAD_SOURCE)
        if load.epoch != watched.epoch:
            watched.epoch = load.epoch
            watched.last_event = _UNHEARD
        watched.looks += 1
        if self._is_engine(watched) and watched.looks % _LOADS_PER_CACHE_LOOK == 1:
            await self._look_at_cache(name, watched, url)

    async def _look_at_cache(
        self, name: str, watched: WatchedEndpoint, url: str
    ) -> None:
        news = await self.engines.cache_events(url, watched.last_event)
        if news.events:
            watched.last_event = news.events[-1].number
            self.scheduler.observe_cache(name, news.events)

    def _is_engine(self, watched: WatchedEndpoint) -> bool:
        current = self.configuration.current
        service = current.services.get(watched.settings.service) if current else None
        return service is not None and service.kind is ServiceKind.ENGINE

    def _configure(self, configuration: Configuration) -> None:
        if not self._running:
            return
        for name in self.watched.keys() - configuration.endpoints.keys():
            del self.watched[name]
            self._tasks.pop(name).cancel()
        for name, settings in configuration.endpoints.items():
            if name in self.watched:
                self.watched[name].settings = settings
                continue
            self.watched[name] = WatchedEndpoint(settings)
            self._tasks[name] = asyncio.create_task(self._watch(name))

    async def _watch(self, name: str) -> None:
        await self.clock.sleep(self.rng.random() * _POLL_SECONDS)
        while name in self.watched:
            await self.look(name)
            await self.clock.sleep(self._pause(self.watched.get(name)))

    async def _watch_vms(self, vm_list: VMSource) -> None:
        while True:
            await self.look_at_vms(vm_list)
            await self.clock.sleep(self._spread(_VM_POLL_SECONDS))

    def _pause(self, watched: WatchedEndpoint | None) -> float:
        """Return seconds until the next look; more for many or failing ones."""
        seconds = max(_POLL_SECONDS, len(self.watched) / _POLLS_PER_SECOND)
        failures = watched.failures if watched else 0
        longest = max(seconds, _LONGEST_BACK_OFF_SECONDS)
        return self._spread(min(longest, seconds * 2.0 ** min(failures, 10)))

    def _spread(self, seconds: float) -> float:
        return seconds * (1.0 + _JITTER * (2.0 * self.rng.random() - 1.0))
