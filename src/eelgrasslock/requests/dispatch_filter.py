"""The last filter: brings calls to endpoints and their answers back."""

from eelgrasslock.exceptions import Refusal
from eelgrasslock.requests.attempts import DispatchParts
from eelgrasslock.requests.exchange import Exchange, Proceed, RequestKind
from eelgrasslock.requests.model_dispatch import ModelCall
from eelgrasslock.requests.plain_dispatch import PlainCall

_NOT_FOUND = 404


class DispatchFilter:
    """Serves model calls and calls to plain services.

    Parameters
    ----------
    parts : DispatchParts
        What the dispatch of a call needs.
    """

    name = "dispatch"

    def __init__(self, parts: DispatchParts) -> None:
        self.parts = parts

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
