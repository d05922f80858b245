"""What endpoints say of themselves in the heads of their responses."""

from loguru import logger

from eelgrasslock.clock import Clock
from eelgrasslock.exchanges.messages import EndpointLoadHeader, EndpointResponse
from eelgrasslock.limits.limit_controller import LimitController
from eelgrasslock.registry.endpoint_registry import EndpointRecord, EndpointRegistry
from eelgrasslock.scheduling.calls import LoadReport
from eelgrasslock.scheduling.dispatch import Dispatcher
from eelgrasslock.scheduling.load_shedding import LoadShedder
from eelgrasslock.scheduling.scheduler import Scheduler
from eelgrasslock.telemetry.gateway_metrics import GatewayMetrics

LEAVING_ANSWER = "answer"

_log = logger.bind(part="endpoints")


class EndpointReports:
    """Passes on the load, the limit and the leaving that endpoints report.

    Parameters
    ----------
    endpoint_registry : EndpointRegistry
        Leaves endpoints out that say that they leave.
    scheduler : Scheduler
        Takes the loads, and the endpoints that leave.
    dispatcher : Dispatcher
        Has the calls that wait for an endpoint that leaves.
    limit_controller : LimitController
        Keeps the limits.
    load_shedder : LoadShedder
        Takes the loads.
    clock : Clock
        The source of time.
    metrics : GatewayMetrics
        Counts the loads that can't be read.
    """

    def __init__(
        self,
        endpoint_registry: EndpointRegistry,
        scheduler: Scheduler,
        dispatcher: Dispatcher,
        limit_controller: LimitController,
        load_shedder: LoadShedder,
        clock: Clock,
        metrics: GatewayMetrics,
    ) -> None:
        self.metrics = metrics
        self.endpoint_registry = endpoint_registry
        self.scheduler = scheduler
        self.dispatcher = dispatcher
        self.limit_controller = limit_controller
        self.load_shedder = load_shedder
        self.clock = clock

    def record(
        self,
        service: str,
        record: EndpointRecord,
        response: EndpointResponse,
        sent_at: float,
    ) -> None:
        """Record what an endpoint says with a response.

        Parameters
        ----------
        service : str
            The service of the request.
        record : EndpointRecord
            The endpoint.
        response : EndpointResponse
            The decoded head of its response.
        sent_at : float
            When the request was sent, on the monotonic clock.
        """
        self._record_limit(record.id, response, sent_at)
        # A refusal is believed as well, if signed; 421 is another endpoint's answer.
        if response.is_leaving and response.is_valid and not response.is_misdirected:
            self._record_leaving(record)
        if response.is_load_malformed:
            self.metrics.malformed_loads.inc()
        if response.load is not None:
            self._record_load(service, record.id, response.load)

    def forget(self, endpoint: str) -> None:
        """Forget what an endpoint said that restarted or is gone."""
        self.limit_controller.forget(endpoint)
        self.scheduler.mark_leaving(endpoint, False, LEAVING_ANSWER)

    def _record_load(
        self, service: str, endpoint: str, load: EndpointLoadHeader
    ) -> None:
        """Record the load that an endpoint reported.

        An endpoint that is kept idle by its own limit tells nothing of the room that
        its service has for new programs.
        """
        if self.limit_controller.table.per_second(endpoint) is None:
            self.load_shedder.record_load(
                service, load.running, load.waiting, load.slots
            )
        report = LoadReport(
            running=load.running,
            queued=load.waiting,
            time=self.clock.now(),
            slots=load.slots,
            slowdown=load.slowdown if load.has_slowdown else None,
        )
        self.scheduler.observe_load(endpoint, report)

    def _record_limit(
        self, endpoint: str, response: EndpointResponse, sent_at: float
    ) -> None:
        """Record the limit that an endpoint named, or that it named none.

        A refusal without a limit does not say that the limit has ended.
        """
        limit = response.request_limit
        if response.is_misdirected or (response.not_run and limit is None):
            return
        per_second = None if limit is None else limit.per_second
        self.limit_controller.observe(endpoint, limit is not None, per_second, sent_at)

    def _record_leaving(self, record: EndpointRecord) -> None:
        """Send an endpoint nothing more that said that it leaves."""
        if self.endpoint_registry.mark_leaving(record):
            _log.info("Endpoint {} says in an answer that it leaves.", record.id)
            self.scheduler.mark_leaving(record.id, True, LEAVING_ANSWER)
            self.dispatcher.wake_up()
