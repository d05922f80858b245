"""Serves one request after another through a pipeline of passes."""

import random

import xxhash
from loguru import logger

from eelgrasslock.allowances.account import Reservation
from eelgrasslock.allowances.keeper import Allowances
from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import EelgrassError, Ran, Refusal
from eelgrasslock.gateway.forwarder import Forwarder
from eelgrasslock.gateway.interfaces import Dialect
from eelgrasslock.gateway.messages import GatewayRequest
from eelgrasslock.gateway.passage import Passage
from eelgrasslock.gateway.reports import Report, Reporter
from eelgrasslock.gateway.responder import AnswerCut, CallerResponder
from eelgrasslock.gateway.routes import Route, ServiceSpec
from eelgrasslock.gateway.routing import Routing
from eelgrasslock.requests.in_flight import InFlight
from eelgrasslock.scheduling.load_shedding import LoadShedder

UNKNOWN_ROUTES_RETRY_SECONDS = 0.5
LEAVING_RETRY_SECONDS = 0.05
_HASH_RANGE = 2.0**64

_log = logger.bind(part="requests")


class GatewayHandler:
    """Gives each request its one final answer.

    Parameters
    ----------
    routing : Routing
        The configuration in force.
    allowances : Allowances
        Keeps turns inside their programs' budgets.
    forwarder : Forwarder
        Has requests run.
    dialect : Dialect
        Says what our own answers carry.
    clock : Clock
        The time.
    rng : random.Random
        Splits the requests of routes with several services.
    reporter : Reporter
        Writes down what became of each request.
    load_shedder : LoadShedder
        Turns new programs away while engines are crowded.

    Attributes
    ----------
    in_flight : InFlight
        The requests that are being served.
    closed : bool
        Whether new requests are refused, since the daemon is about to end.
    refused_closed : int
        How many were refused for that.
    """

    def __init__(
        self,
        routing: Routing,
        allowances: Allowances,
        forwarder: Forwarder,
        dialect: Dialect,
        clock: Clock,
        rng: random.Random,
        reporter: Reporter,
        load_shedder: LoadShedder,
    ) -> None:
        self.load_shedder = load_shedder
        self.reporter = reporter
        self.routing = routing
        self.allowances = allowances
        self.forwarder = forwarder
        self.dialect = dialect
        self.clock = clock
        self.rng = rng
        self.in_flight = InFlight()
        self.closed = False
        self.refused_closed = 0

    async def handle(self, request: GatewayRequest, responder: CallerResponder) -> None:
        """Serve one request to its end.

        Raises
        ------
        AnswerCut
            If its connection must be closed.
        """
        report = Report(request)
        try:
            with self.in_flight.enter():
                await self._answer(request, responder, report)
        finally:
            self.reporter.write(report)

    async def _answer(
        self, request: GatewayRequest, responder: CallerResponder, report: Report
    ) -> None:
        try:
            if self.closed:
                self.refused_closed += 1
                raise _leaving()
            await self._serve(request, responder, report)
            report.served()
        except Refusal as refusal:
            await self._refuse(request, responder, refusal, report)
        except AnswerCut as cut:
            report.cut(None, str(cut))
            raise
        except EelgrassError as error:
            _log.opt(exception=error).error("{} failed.", request.id)
            sentence = "The request failed inside the daemon."
            failure = Refusal("internal_error", sentence, 500, Ran.UNKNOWN)
            await self._refuse(request, responder, failure, report)

    async def _serve(
        self, request: GatewayRequest, responder: CallerResponder, report: Report
    ) -> None:
        route = self._route(request)
        service = self._service(request, route)
        patience = route.timeout_seconds
        if request.patience_seconds is not None:
            patience = min(patience, request.patience_seconds)
        assert self.routing.current is not None
        passage = Passage(
            request=request,
            responder=responder,
            route=route,
            service=service,
            ends_at=request.received + patience,
            version=self.routing.current.version,
        )
        report.passage = passage
        reservation = await self._reserve(passage)
        if reservation is None:
            await self.forwarder.forward(passage)
            return
        self._check_begin(passage, reservation)
        try:
            await self.forwarder.forward(passage)
            reservation.account.ran_at(passage.endpoint, passage.request.session)
        finally:
            self.allowances.settle(reservation, passage.tokens_used)

    def _route(self, request: GatewayRequest) -> Route:
        if self.routing.current is None:
            sentence = "This daemon has no configuration yet."
            raise Refusal(
                "no_configuration",
                sentence,
                503,
                retry_after=UNKNOWN_ROUTES_RETRY_SECONDS,
            )
        route = self.routing.table.find(request.host, request.path)
        if route is None:
            raise Refusal("no_route", "No route serves this host and path.", 404)
        return route

    def _service(self, request: GatewayRequest, route: Route) -> ServiceSpec:
        """Return the route's service; a program's turns keep to one."""
        point = self.rng.random()
        if request.program:
            point = xxhash.xxh64_intdigest(request.program.encode()) / _HASH_RANGE
        name = route.service_for(point)
        assert self.routing.current is not None
        spec = self.routing.current.services.get(name)
        return spec if spec is not None else ServiceSpec(name=name)

    async def _reserve(self, passage: Passage) -> Reservation | None:
        request = passage.request
        if not passage.route.is_turn or request.budget_tokens is None:
            return None
        reservation = await self.allowances.reserve(
            request.program,
            request.budget_tokens,
            passage.worst_tokens,
            request.id,
            lambda: self.forwarder.suggest(passage),
        )
        passage.home = reservation.account.home
        return reservation

    def _check_begin(self, passage: Passage, reservation: Reservation) -> None:
        """Refuse a new program that the engines are too crowded for."""
        route = passage.route
        service = passage.service.name
        is_urgent = self.routing.table.is_urgent(route, service)
        try:
            self.load_shedder.check(service, reservation.stage, is_urgent)
        except Refusal:
            self.allowances.give_up(reservation)
            raise

    async def _refuse(
        self,
        request: GatewayRequest,
        responder: CallerResponder,
        refusal: Refusal,
        report: Report,
    ) -> None:
        if responder.started:
            report.cut(refusal, refusal.sentence)
        else:
            report.refused(refusal)
        await responder.refuse(refusal, self.dialect.refusal_headers(request.id))


def _leaving() -> Refusal:
    sentence = "This daemon is stopping; another one takes the request."
    return Refusal("daemon_leaving", sentence, 503, retry_after=LEAVING_RETRY_SECONDS)
