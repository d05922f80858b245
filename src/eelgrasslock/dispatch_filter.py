"""The last filter: brings calls to endpoints and their answers back."""

from collections.abc import Awaitable, Callable

from eelgrasslock.attempts import DispatchParts
from eelgrasslock.clock import Clock
from eelgrasslock.dispatch import Dispatcher
from eelgrasslock.engine_client import EngineClient
from eelgrasslock.exceptions import Refusal
from eelgrasslock.exchange import Exchange, Proceed, RequestKind
from eelgrasslock.metrics import Metrics
from eelgrasslock.model_dispatch import ModelCall
from eelgrasslock.plain_dispatch import PlainCall
from eelgrasslock.service_client import ServiceClient
from eelgrasslock.settings import Configuration

_NOT_FOUND = 404


class DispatchFilter:
    """Serves model calls and calls to plain services.

    Parameters
    ----------
    dispatcher : Dispatcher
        Gives endpoints.
    engines : EngineClient
        Talks to model engines.
    services : ServiceClient
        Talks to plain services.
    configuration : callable
        Returns the configuration in force.
    clock : Clock
        The time.
    metrics : Metrics or None
        Where figures go.
    tell_peers : callable or None
        Gives peers word of this daemon's state at once; awaited when an
        endpoint has crashed, before its call goes on.
    """

    name = "dispatch"

    def __init__(
        self,
        dispatcher: Dispatcher,
        engines: EngineClient,
        services: ServiceClient,
        configuration: Callable[[], Configuration],
        clock: Clock,
        metrics: Metrics | None = None,
        tell_peers: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        self.parts = DispatchParts(
            dispatcher=dispatcher,
            engines=engines,
            services=services,
            configuration=configuration,
            clock=clock,
            metrics=metrics,
            tell_peers=tell_peers,
        )

    async def handle(self, exchange: Exchange, proceed: Proceed | None = None) -> None:
        """Serve a call; anything else goes on, if there is more of the chain.

        Raises
        ------
        Refusal
            If the call could not be served. Where the answer has begun, the
            caller has got the refusal as an error event already.
        """
        if exchange.kind is RequestKind.MODEL:
            exchange.sent = False
            await _run(ModelCall(self.parts, exchange))
        elif exchange.kind is RequestKind.PLAIN:
            exchange.sent = False
            await _run(PlainCall(self.parts, exchange))
        elif proceed is not None:
            await proceed(exchange)
        else:
            raise Refusal("not_found", "There is nothing here.", _NOT_FOUND)


async def _run(call: ModelCall | PlainCall) -> None:
    try:
        await call.run()
    finally:
        call.attempts.close()
