"""Takes draws over from daemons of builds without keepers, as these stop."""

from typing import Any

from eelgrasslock.allowances.unrecorded_draws import UnrecordedDraw, UnrecordedDraws
from eelgrasslock.peers.peer_callbacks import PeerCallbacks


class DrawHandover:
    """Takes over draws that a stopping daemon of an earlier build could not record.

    Parameters
    ----------
    unrecorded : UnrecordedDraws
        Records them as own ones.
    """

    def __init__(self, unrecorded: UnrecordedDraws) -> None:
        self.unrecorded = unrecorded

    def register(self, callbacks: PeerCallbacks) -> None:
        """Serve the call with which peers hand over their draws."""
        callbacks.adopt_draws = self.serve

    async def serve(self, message: dict[str, Any], results: Any) -> None:
        """Take over the draws of a peer that stops."""
        for one in message["draws"]:
            if one.tokens > 0:
                self.unrecorded.adopt(
                    UnrecordedDraw(
                        program=one.program, budget=one.budget, tokens=one.tokens
                    )
                )
