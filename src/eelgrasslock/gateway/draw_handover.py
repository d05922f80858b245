"""Hands draws that are not recorded to a peer when a daemon stops in an outage."""

from typing import Any

from loguru import logger

from eelgrasslock.allowances.manager import AllowanceManager
from eelgrasslock.allowances.offline import UnrecordedDraw
from eelgrasslock.exceptions import PeerUnavailable
from eelgrasslock.peers.load_exchange import LoadExchange
from eelgrasslock.peers.peer_callbacks import PeerCallbacks
from eelgrasslock.peers.peer_mesh import PeerMesh

MAX_PEERS_TRIED = 3
CALL_SECONDS = 0.2

_log = logger.bind(part="allowances")


class DrawHandover:
    """Gives unrecorded draws to a peer, and takes those of others.

    A program could otherwise spend again what a daemon gave it without the log and
    did not record before it ended.

    Parameters
    ----------
    allowances : AllowanceManager
        The accounts with the draws.
    mesh : PeerMesh
        Calls the peers.
    load_exchange : LoadExchange
        Knows the registered daemons and which of them are live.
    """

    def __init__(
        self, allowances: AllowanceManager, mesh: PeerMesh, load_exchange: LoadExchange
    ) -> None:
        self.allowances = allowances
        self.mesh = mesh
        self.load_exchange = load_exchange

    def register(self, callbacks: PeerCallbacks) -> None:
        """Serve the call with which peers hand over their draws."""
        callbacks.adopt_draws = self.serve

    async def hand_over(self) -> None:
        """Give all unrecorded draws to one peer; those left are logged."""
        draws = self.allowances.unrecorded.all()
        if not draws:
            return
        message = [
            {"program": one.program, "budget": one.budget, "tokens": one.tokens}
            for one in draws
        ]
        for entry in self._candidates():

            async def give(peer: Any) -> None:
                await peer.adoptDraws(draws=message)

            try:
                await self.mesh.call(entry, give, CALL_SECONDS)
            except PeerUnavailable as error:
                _log.info("{} did not take over draws: {}", entry.name, error)
                continue
            for draw in draws:
                self.allowances.unrecorded.forget(draw)
            _log.info("{} took over {} unrecorded draws.", entry.name, len(draws))
            return
        for draw in draws:
            _log.bind(program=draw.program, offline_tokens=draw.tokens).warning(
                "{} tokens drawn without the log are lost with this daemon.",
                draw.tokens,
            )

    async def serve(self, message: dict[str, Any], results: Any) -> None:
        """Take over the draws of a peer that stops."""
        for one in message["draws"]:
            if one.tokens > 0:
                self.allowances.unrecorded.adopt(
                    UnrecordedDraw(
                        program=one.program, budget=one.budget, tokens=one.tokens
                    )
                )

    def _candidates(self) -> list[Any]:
        live = self.load_exchange.live_peers
        entries = self.load_exchange.daemon_registry.nearest_first()
        return [one for one in entries if one.incarnation in live][:MAX_PEERS_TRIED]
