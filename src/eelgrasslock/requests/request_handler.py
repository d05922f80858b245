"""Serves requests through the filter chain, and counts those in flight."""

from loguru import logger

from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import EelgrassError, Ran, Refusal
from eelgrasslock.requests.exchange import Exchange, Proceed, Request, Responder
from eelgrasslock.requests.in_flight import InFlight
from eelgrasslock.requests.tracked_responder import TrackedResponder
from eelgrasslock.telemetry.metrics import Metrics
from eelgrasslock.telemetry.tracing import span

_COME_BACK_SECONDS = 1.0
_MILLISECONDS = 1_000.0

_log = logger.bind(part="requests")


class RequestHandler:
    """Gives each request its one final answer.

    Parameters
    ----------
    serve : callable
        The whole filter chain.
    clock : Clock
        Times requests.
    metrics : Metrics
        Counts them.

    Attributes
    ----------
    closed : bool
        Whether new requests are refused, since the daemon is stopping.
    in_flight : InFlight
        The requests that are being served.
    """

    def __init__(self, serve: Proceed, clock: Clock, metrics: Metrics) -> None:
        self.serve = serve
        self.clock = clock
        self.metrics = metrics
        self.closed = False
        self.in_flight = InFlight()

    async def handle(self, request: Request, responder: Responder) -> None:
        """Serve one request, from a caller or from a peer, to its end."""
        tracked = TrackedResponder(responder)
        if self.closed:
            await self._refuse(tracked, _leaving())
            return
        started = self.clock.monotonic()
        with self.in_flight.enter(), span("daemon.handle", request.trace):
            await self._serve(request, tracked)
        elapsed = self.clock.monotonic() - started
        self.metrics.timing("request", elapsed * _MILLISECONDS)

    async def _serve(self, request: Request, tracked: TrackedResponder) -> None:
        exchange = Exchange(request=request, responder=tracked)
        try:
            await self.serve(exchange)
        except Refusal as refusal:
            await self._refuse(tracked, refusal)
        except EelgrassError as error:
            _log.opt(exception=error).error("A request failed.")
            await self._refuse(tracked, _unexpected(exchange))

    async def _refuse(self, tracked: TrackedResponder, refusal: Refusal) -> None:
        _log.info("Refused {}: {}", refusal.code, refusal.sentence)
        self.metrics.incr(f"refused.{refusal.code}")
        await tracked.refuse(refusal)


def _leaving() -> Refusal:
    return Refusal(
        "daemon_leaving",
        "This daemon is stopping; another one takes the request.",
        503,
        retry_after=_COME_BACK_SECONDS,
    )


def _unexpected(exchange: Exchange) -> Refusal:
    nothing_sent = exchange.sent is not True and not exchange.tokens_used
    ran = Ran.NO if nothing_sent else Ran.UNKNOWN
    return Refusal("internal_error", "The request failed inside the daemon.", 500, ran)
