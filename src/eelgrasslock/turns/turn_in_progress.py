"""A turn whose chain the fleet keeps, while its request is served."""

from attrs import define

from eelgrasslock.conversations.history import History
from eelgrasslock.exchanges.messages import GatewayRequest
from eelgrasslock.turns.turn_recorder import TurnRecorder


@define(eq=False, kw_only=True)
class TurnInProgress:
    """A turn from the look-up of its chain to its end.

    Attributes
    ----------
    new_input : bytes
        The body that the caller sent.
    request : GatewayRequest
        The request with the whole conversation as its body.
    history : History
        The chain before it.
    recorder : TurnRecorder
        Takes its events down.
    look_up_seconds, store_seconds : float
        How long it took to find the chain and to store the turn.
    """

    new_input: bytes
    request: GatewayRequest
    history: History
    recorder: TurnRecorder
    look_up_seconds: float = 0.0
    store_seconds: float = 0.0

    @property
    def preferred_endpoint(self) -> str:
        """The engine that ran the turn before it, empty if there is none."""
        parent = self.history.parent
        return "" if parent is None else parent.endpoint
