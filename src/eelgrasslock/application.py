"""The central object of a daemon, through which all its parts are reached."""

import asyncio
import random
import secrets

import aiohttp
from loguru import logger

from eelgrasslock.actions.action_guard import ActionGuard
from eelgrasslock.actions.action_status import ActionStatusClient
from eelgrasslock.clock import Clock
from eelgrasslock.configuration.controller import ConfigurationController
from eelgrasslock.configuration.lookups import Lookups
from eelgrasslock.configuration.settings import (
    Configuration,
    DaemonSettings,
)
from eelgrasslock.endpoints.endpoint_watch import EndpointWatch
from eelgrasslock.endpoints.engine_client import EngineClient
from eelgrasslock.endpoints.release import ReleaseController
from eelgrasslock.endpoints.service_client import ServiceClient
from eelgrasslock.endpoints.vm_list import VMKind, VMList
from eelgrasslock.log.log_client import HTTPLog
from eelgrasslock.log.log_tail import LogTail
from eelgrasslock.log.log_writer import LogWriter
from eelgrasslock.operators.operator_api import OperatorAPI
from eelgrasslock.peers.heartbeat_topology import heartbeat_targets
from eelgrasslock.peers.membership import Membership
from eelgrasslock.peers.peer_transport import PeerTransport
from eelgrasslock.programs.controller import ProgramController
from eelgrasslock.programs.program import Program
from eelgrasslock.requests.action_filter import ActionFilter
from eelgrasslock.requests.attempts import DispatchParts
from eelgrasslock.requests.budget_filter import BudgetFilter
from eelgrasslock.requests.dispatch_filter import DispatchFilter
from eelgrasslock.requests.exchange import Filter, chain
from eelgrasslock.requests.front import Front
from eelgrasslock.requests.health import health_routes
from eelgrasslock.requests.homes import Controller, Home, HomeFilter, Homes
from eelgrasslock.requests.locate_filter import LocateFilter
from eelgrasslock.requests.parse_filter import ParseFilter
from eelgrasslock.requests.program_filter import ProgramFilter
from eelgrasslock.requests.request_handler import RequestHandler
from eelgrasslock.requests.turn_filter import TurnFilter
from eelgrasslock.scheduling.dispatch import Dispatcher
from eelgrasslock.scheduling.scheduler import Scheduler
from eelgrasslock.telemetry.gauges import Gauge, Gauges
from eelgrasslock.telemetry.metrics import Metrics

_log = logger.bind(part="daemon")

_INCARNATION_BYTES = 6
_BALANCER_SECONDS = 1.0
_FLUSH_SECONDS = 0.1


class Application:
    """One start of one daemon, from its settings to its end.

    Parameters
    ----------
    settings : DaemonSettings
        What the process was started with.
    clock : Clock
        The time.
    rng : random.Random
        The generator for jitter and sampling.
    session : aiohttp.ClientSession
        For all calls to outside systems; closed by the caller.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        clock: Clock,
        rng: random.Random,
        session: aiohttp.ClientSession,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.rng = rng
        self.session = session
        self.incarnation = f"{settings.name}-{secrets.token_hex(_INCARNATION_BYTES)}"
        self.draining = False
        self.retired = asyncio.Event()
        self.metrics = Metrics(settings)
        self._make_state()
        self._make_decisions()
        self.homes = Homes(settings.domain, self._make_home)
        self._make_chain()
        self._connect_parts()
        self._started: list[Controller] = []

    def _make_state(self) -> None:
        settings = self.settings
        self.log = HTTPLog(settings.log_url, self.session)
        self.writer = LogWriter(self.log, self.clock, self.rng)
        self.tail = LogTail(self.log, self.clock, self.rng)
        self.writer.position_source = self.tail.position
        self.peers = PeerTransport(settings, self.incarnation, self.clock, self.rng)
        self.configuration = ConfigurationController(
            self.writer, self.tail, self.clock, self.rng, self.peers
        )
        self.lookups = Lookups(self.configuration)
        self.services = ServiceClient(self.clock, self.lookups.known)
        self.membership = Membership(
            settings,
            self.incarnation,
            self.writer,
            self.tail,
            self.peers,
            self.clock,
            self.rng,
        )
        self.actions = ActionGuard(
            self.incarnation,
            self.writer,
            self.tail,
            self.clock,
            settings.action_shards,
            ActionStatusClient(self.services, self.lookups.known).query,
            self._may_still_send,
        )

    def _make_decisions(self) -> None:
        empty = Configuration(deployment="", domains=[self.settings.domain])
        self.scheduler = Scheduler(self.clock, self.rng, empty, self.settings.domain)
        self.dispatcher = Dispatcher(self.scheduler, self.clock)
        self.engines = EngineClient(self.clock, self.lookups.known)
        self.vm_list = VMList(self.settings.vm_list_url, self.session)
        self.endpoint_watch = EndpointWatch(
            self.configuration,
            self.scheduler,
            self.engines,
            self.vm_list if self.settings.vm_list_url else None,
            self.clock,
            self.rng,
            self.dispatcher.wake_up,
        )

    def _make_home(self, domain: str) -> Home:
        programs = ProgramController(
            domain,
            self.incarnation,
            self.writer,
            self.tail,
            self.membership,
            self.peers,
            self.clock,
            self.rng,
            self.lookups.limits,
            self.lookups.price,
            self.actions,
        )
        release = ReleaseController(
            domain,
            programs,
            self.membership,
            self.engines,
            self.lookups.engine_urls,
            self.clock,
            self.rng,
        )
        programs.journal.on_ended.append(self._forget_ended)
        filters: list[Filter] = [
            ProgramFilter(programs, self.lookups.current),
            TurnFilter(programs),
            BudgetFilter(programs),
        ]
        return Home(programs, [programs, release], filters)

    def _make_chain(self) -> None:
        parts = DispatchParts(
            dispatcher=self.dispatcher,
            engines=self.engines,
            services=self.services,
            configuration=self.lookups.current,
            clock=self.clock,
            metrics=self.metrics,
            tell_peers=self._tell_peers,
        )
        serve = chain(
            [
                ParseFilter(self.lookups.known, self.clock),
                LocateFilter(self.membership, self.tail, self.peers),
                HomeFilter(self.homes),
                ActionFilter(self.actions, self.lookups.service, self.clock),
            ],
            DispatchFilter(parts).handle,
        )
        self.requests = RequestHandler(serve, self.clock, self.metrics)

    def _connect_parts(self) -> None:
        self.peers.serve_request = self.requests.handle
        self.peers.hold_records = self.homes.hold
        self.peers.held_records = self.homes.held
        self.peers.encode_config = self.configuration.offer
        self.peers.accept_config = self.configuration.accept
        self.peers.config_version = lambda: self.configuration.version
        self.configuration.on_change(self.scheduler.configure)
        self.membership.seed_source = self._listed_peers
        self.membership.load_source = self.scheduler.peer_load
        self.membership.on_peer_load(self.scheduler.observe_peer)
        self.membership.on_peer_gone(self.scheduler.forget_peer)
        self.membership.on_retired(self.retired.set)

    @property
    def programs(self) -> ProgramController:
        """The programs of the daemon's own failure domain."""
        return self.homes.own.programs

    # --- what the parts ask of each other -------------------------------------

    def _forget_ended(self, program: Program) -> None:
        self.scheduler.end_program(program.id)

    async def _listed_peers(self) -> list[str]:
        """Return the peer addresses of the platform's entry VMs."""
        if not self.settings.vm_list_url:
            return []
        port = self.settings.peer_address.rpartition(":")[2]
        vms = await self.vm_list.fetch()
        entries = [vm.address for vm in vms if vm.kind is VMKind.ENTRY]
        return [one if ":" in one else f"{one}:{port}" for one in entries]

    async def _tell_peers(self) -> None:
        """Send all watched peers a heartbeat now."""
        members = heartbeat_targets(self.membership.own_record, self.membership.table)
        beats = [self.membership.monitor.send_heartbeat(member) for member in members]
        await asyncio.gather(*beats)

    def _may_still_send(self, incarnation: str) -> bool:
        return not self.membership.table.is_retired(incarnation)

    def unready_reasons(self) -> list[str]:
        """Return why new requests should go elsewhere; empty if they needn't."""
        reasons = []
        if self.draining:
            reasons.append("draining")
        if self.retired.is_set():
            reasons.append("retired")
        if self.configuration.current is None:
            reasons.append("no configuration")
        if not self.membership.join_barrier.is_passed:
            reasons.append("not known to the peers yet")
        return reasons

    def _gauges(self) -> list[Gauge]:
        return [
            Gauge("waiting", lambda: len(self.dispatcher.waiting)),
            Gauge("in_flight", lambda: self.requests.in_flight.count),
            Gauge("unjournaled", self.homes.unjournaled_count),
            Gauge("log_available", lambda: float(self.writer.available)),
            Gauge("config_version", lambda: self.configuration.version),
            Gauge("suspects", lambda: len(self.membership.suspects())),
            Gauge("resumed", lambda: self.engines.resumed),
        ]

    # --- life cycle ---------------------------------------------------------------

    async def start(self) -> None:
        """Start all parts, the front last."""
        operators = OperatorAPI(self).routes()
        self.front = Front(
            self.settings.http_address,
            self.requests.handle,
            [*health_routes(self), *operators],
        )
        gauges = Gauges(self.metrics, self.clock, self._gauges())
        parts: list[Controller] = [
            self.writer,
            self.tail,
            self.configuration,
            self.peers,
            self.membership,
            self.actions,
            self.engines,
            self.services,
            self.dispatcher,
            self.endpoint_watch,
            self.homes,
            gauges,
            self.front,
        ]
        for part in parts:
            await part.start()
            self._started.append(part)
        _log.info("Started as incarnation {}.", self.incarnation)

    async def drain(self) -> None:
        """Stop taking new work and wait for what is in flight.

        The programs move to other daemons at their next turn. New requests
        are still served until the balancer has had time to see that this
        daemon is not ready, then refused, so that a constant stream of them
        can't hold up the end. Waits at most the settings' `drain_seconds`.
        """
        self.draining = True
        _log.info("Draining {} requests in flight.", self.requests.in_flight.count)
        try:
            async with asyncio.timeout(self.settings.drain_seconds):
                await self.membership.leave()
                await self.clock.sleep(_BALANCER_SECONDS)
                self.requests.closed = True
                await self.front.close_listener()
                await self.requests.in_flight.none_left()
        except TimeoutError:
            _log.warning(
                "{} requests outlast the drain.", self.requests.in_flight.count
            )

    async def flush(self) -> None:
        """Wait until the log holds all that this daemon has to tell it."""
        while self.homes.unjournaled_count():
            await self.clock.sleep(_FLUSH_SECONDS)

    async def stop(self) -> None:
        """Stop all parts in reverse order."""
        while self._started:
            await self._started.pop().stop()
        _log.info("Stopped.")
