"""The central object of a daemon, through which all its parts are reached."""

import asyncio
import random
import secrets

import aiohttp
from loguru import logger

from eelgrasslock.action_filter import ActionFilter
from eelgrasslock.action_status import ActionStatus
from eelgrasslock.actions import Actions
from eelgrasslock.aliases import resolve_models
from eelgrasslock.budget_filter import BudgetFilter
from eelgrasslock.clock import Clock
from eelgrasslock.configuration import ConfigurationController
from eelgrasslock.dispatch import Dispatcher
from eelgrasslock.dispatch_filter import DispatchFilter
from eelgrasslock.endpoint_watch import EndpointWatch
from eelgrasslock.engine_client import EngineClient
from eelgrasslock.exceptions import EelgrassError, Ran, Refusal
from eelgrasslock.exchange import Exchange, Filter, Request, Responder, chain
from eelgrasslock.front import Front
from eelgrasslock.health import health_routes
from eelgrasslock.homes import Controller, Home, HomeFilter, Homes
from eelgrasslock.in_flight import InFlight
from eelgrasslock.locate_filter import LocateFilter
from eelgrasslock.log_client import HTTPLog
from eelgrasslock.log_tail import LogTail
from eelgrasslock.log_writer import LogWriter
from eelgrasslock.membership import Membership
from eelgrasslock.metrics import Metrics
from eelgrasslock.operator_api import OperatorAPI
from eelgrasslock.parse_filter import ParseFilter
from eelgrasslock.peers import PeerLinks
from eelgrasslock.program import Program
from eelgrasslock.program_filter import ProgramFilter
from eelgrasslock.programs import Programs
from eelgrasslock.relays import watched_peers
from eelgrasslock.release import ReleaseController
from eelgrasslock.scheduler import Scheduler
from eelgrasslock.service_client import ServiceClient
from eelgrasslock.settings import (
    Configuration,
    DaemonSettings,
    LimitSettings,
    ServiceKind,
    ServiceSettings,
)
from eelgrasslock.tracing import span
from eelgrasslock.tracked_responder import TrackedResponder
from eelgrasslock.turn_filter import TurnFilter
from eelgrasslock.vm_list import VMKind, VMList

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
        self.closed_to_new = False
        self.retired = asyncio.Event()
        self.in_flight = InFlight()
        self.metrics = Metrics(settings)
        self._make_state()
        self._make_decisions()
        self.homes = Homes(settings.domain, self._make_home)
        self._make_chain()
        self._connect_parts()
        self._started: list[Controller] = []

    def _make_state(self) -> None:
        settings = self.settings
        self.services = ServiceClient(self.clock, self.known_configuration)
        self.log = HTTPLog(settings.log_url, self.session)
        self.writer = LogWriter(self.log, self.clock, self.rng)
        self.tail = LogTail(self.log, self.clock, self.rng)
        self.writer.position_source = self.tail.position
        self.peers = PeerLinks(settings, self.incarnation, self.clock, self.rng)
        self.configuration = ConfigurationController(
            self.writer, self.tail, self.clock, self.rng, self.peers
        )
        self.membership = Membership(
            settings,
            self.incarnation,
            self.writer,
            self.tail,
            self.peers,
            self.clock,
            self.rng,
        )
        self.actions = Actions(
            self.incarnation,
            self.writer,
            self.tail,
            self.clock,
            settings.action_shards,
            ActionStatus(self.services, self.known_configuration).ask,
            self._may_still_send,
        )

    def _make_decisions(self) -> None:
        empty = Configuration(deployment="", domains=[self.settings.domain])
        self.scheduler = Scheduler(self.clock, self.rng, empty, self.settings.domain)
        self.dispatcher = Dispatcher(self.scheduler, self.clock)
        self.engines = EngineClient(self.clock, self.known_configuration)
        self.vm_list = VMList(self.settings.vm_list_url, self.session)
        self.endpoint_watch = EndpointWatch(
            self.configuration,
            self.scheduler,
            self.engines,
            self.vm_list,
            self.clock,
            self.rng,
            self.dispatcher.kick,
        )

    def _make_home(self, domain: str) -> Home:
        programs = Programs(
            domain,
            self.incarnation,
            self.writer,
            self.tail,
            self.membership,
            self.peers,
            self.clock,
            self.rng,
            self.limits,
            self.price,
            self.actions,
        )
        release = ReleaseController(
            domain,
            programs,
            self.membership,
            self.engines,
            self.engine_urls,
            self.clock,
            self.rng,
        )
        programs.journal.on_ended.append(self._forget_ended)
        filters: list[Filter] = [
            ProgramFilter(programs, self.current_configuration),
            TurnFilter(programs),
            BudgetFilter(programs),
        ]
        return Home(programs, [programs, release], filters)

    def _make_chain(self) -> None:
        self.handle_exchange = chain(
            [
                ParseFilter(self.known_configuration, self.clock),
                LocateFilter(self.membership, self.tail, self.peers),
                HomeFilter(self.homes),
                ActionFilter(self.actions, self.service, self.clock),
            ],
            DispatchFilter(
                self.dispatcher,
                self.engines,
                self.services,
                self.current_configuration,
                self.clock,
                self.metrics,
                self._tell_peers,
            ).handle,
        )

    def _connect_parts(self) -> None:
        self.peers.serve_request = self.handle
        self.peers.hold_records = self.homes.hold
        self.peers.held_records = self.homes.held
        self.peers.config_offer = self.configuration.offer
        self.peers.config_accept = self.configuration.accept
        self.peers.config_version = lambda: self.configuration.version
        self.configuration.on_change(self.scheduler.configure)
        self.membership.seed_source = self._listed_peers
        self.membership.load_source = self.scheduler.peer_load
        self.membership.on_peer_load(self.scheduler.observe_peer)
        self.membership.on_peer_gone(self.scheduler.forget_peer)
        self.membership.on_retired(self.retired.set)

    @property
    def programs(self) -> Programs:
        """The programs of the daemon's own failure domain."""
        return self.homes.own.programs

    # --- what the parts ask of each other -------------------------------------

    def known_configuration(self) -> Configuration | None:
        """Return the configuration in force, or None while none is known."""
        return self.configuration.current

    def current_configuration(self) -> Configuration:
        """Return the configuration in force.

        Raises
        ------
        Refusal
            While none is known.
        """
        if self.configuration.current is None:
            raise Refusal(
                "no_configuration",
                "This daemon has not learned the deployment's configuration yet.",
                503,
            )
        return self.configuration.current

    def limits(self) -> LimitSettings:
        """Return the limits in force."""
        return self.current_configuration().limits

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
        members = watched_peers(self.membership.own, self.membership.table)
        beats = [self.membership.watch.beat(member) for member in members]
        await asyncio.gather(*beats)

    def _may_still_send(self, incarnation: str) -> bool:
        return not self.membership.table.is_retired(incarnation)

    def service(self, name: str) -> ServiceSettings | None:
        """Return a service's settings, or None for an unknown one."""
        return self.current_configuration().services.get(name)

    def engine_urls(self) -> dict[str, str]:
        """Return the URLs of all engines by endpoint id."""
        configuration = self.configuration.current
        if configuration is None:
            return {}
        return {
            name: endpoint.url
            for name, endpoint in configuration.endpoints.items()
            if configuration.services[endpoint.service].kind is ServiceKind.ENGINE
        }

    def price(self, model: str) -> float:
        """Return the price of a token of a model, or of an alias's dearest one."""
        configuration = self.current_configuration()
        names = resolve_models(configuration, model)
        prices = [configuration.models[name].token_price for name in names]
        return max(prices, default=0.0)

    def unready_reasons(self) -> list[str]:
        """Return why new requests should go elsewhere; empty if they needn't."""
        reasons = []
        if self.draining:
            reasons.append("draining")
        if self.retired.is_set():
            reasons.append("retired")
        if self.configuration.current is None:
            reasons.append("no configuration")
        return reasons

    # --- requests ---------------------------------------------------------------

    async def handle(self, request: Request, responder: Responder) -> None:
        """Serve one request, from a caller or from a peer, to its end."""
        tracked = TrackedResponder(responder)
        if self.closed_to_new:
            await self._refuse(tracked, _leaving())
            return
        started = self.clock.monotonic()
        with self.in_flight.enter(), span("daemon.handle", request.trace):
            await self._serve(request, tracked)
        elapsed = self.clock.monotonic() - started
        self.metrics.timing("request", elapsed * 1_000.0)

    async def _serve(self, request: Request, tracked: TrackedResponder) -> None:
        exchange = Exchange(request=request, responder=tracked)
        try:
            await self.handle_exchange(exchange)
        except Refusal as refusal:
            await self._refuse(tracked, refusal)
        except EelgrassError as error:
            _log.opt(exception=error).error("A request failed.")
            await self._refuse(tracked, _unexpected(exchange))

    async def _refuse(self, tracked: TrackedResponder, refusal: Refusal) -> None:
        _log.info("Refused {}: {}", refusal.code, refusal.sentence)
        self.metrics.incr(f"refused.{refusal.code}")
        await tracked.refuse(refusal)

    # --- life cycle ---------------------------------------------------------------

    async def start(self) -> None:
        """Start all parts, the front last."""
        operators = OperatorAPI(self).routes()
        self.front = Front(
            self.settings.http_address,
            self.handle,
            [*health_routes(self), *operators],
        )
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
        _log.info("Draining {} requests in flight.", self.in_flight.count)
        try:
            async with asyncio.timeout(self.settings.drain_seconds):
                await self.membership.leave()
                await self.clock.sleep(_BALANCER_SECONDS)
                self.closed_to_new = True
                await self.front.close_listener()
                await self.in_flight.none_left()
        except TimeoutError:
            _log.warning("{} requests outlast the drain.", self.in_flight.count)

    async def flush(self) -> None:
        """Wait until the log holds all that this daemon has to tell it."""
        while self.homes.unjournaled():
            await self.clock.sleep(_FLUSH_SECONDS)

    async def stop(self) -> None:
        """Stop all parts in reverse order."""
        while self._started:
            await self._started.pop().stop()
        _log.info("Stopped.")


def _leaving() -> Refusal:
    return Refusal(
        "daemon_leaving",
        "This daemon is stopping; another one takes the request.",
        503,
        retry_after=_BALANCER_SECONDS,
    )


def _unexpected(exchange: Exchange) -> Refusal:
    ran = Ran.UNKNOWN if exchange.tokens_used else Ran.NO
    return Refusal("internal_error", "The request failed inside the daemon.", 500, ran)
