"""The filter that brings a call to the daemon that owns its program."""

from typing import Protocol

from attrs import evolve
from loguru import logger

from eelgrasslock.exceptions import LogUnavailable, PeerUnavailable, Refusal
from eelgrasslock.log.log_tail import LogTail
from eelgrasslock.log.records import MEMBERS_STREAM, MemberJoined
from eelgrasslock.peers.membership import Membership
from eelgrasslock.requests.exchange import (
    Exchange,
    Proceed,
    Request,
    RequestKind,
    Responder,
)
from eelgrasslock.telemetry.tracing import context_headers, span

_log = logger.bind(part="locate")

_TAKEOVER_SECONDS = 3.0
_CATCH_UP_SECONDS = 1.0


class Forwarder(Protocol):
    """Sends a request to a peer and its answer back."""

    async def forward(
        self, member: MemberJoined, request: Request, responder: Responder
    ) -> None:
        """Forward one request.

        Raises
        ------
        PeerUnavailable
            If the peer did not answer.
        """


class LocateFilter:
    """Forwards a call whose program another daemon owns.

    Plain calls are served where they arrive: their guard does not depend on
    who owns the program.

    Parameters
    ----------
    membership : Membership
        Tells who owns a program.
    tail : LogTail
        To read up when two daemons disagree on the owner.
    peers : Forwarder
        The way to the owner.
    """

    name = "locate"

    def __init__(
        self,
        membership: Membership,
        tail: LogTail,
        peers: Forwarder,
    ) -> None:
        self.membership = membership
        self.tail = tail
        self.peers = peers

    async def handle(self, exchange: Exchange, proceed: Proceed) -> None:
        """Go on here if this daemon owns the program, or forward.

        Raises
        ------
        Refusal
            If the owner is not known or can't be reached.
        """
        if not exchange.program or exchange.kind is RequestKind.PLAIN:
            await proceed(exchange)
            return
        owner = await self._owner(exchange)
        if self.membership.is_self(owner):
            await proceed(exchange)
            return
        if exchange.request.forwarded_by:
            raise _refuse("owner_moved", "The program has just moved; try again.")
        await self._forward(owner, exchange)

    async def _owner(self, exchange: Exchange) -> MemberJoined:
        owner = self.membership.owner(exchange.program)
        if exchange.request.forwarded_by and not self._is_here(owner):
            owner = await self._owner_after_reading_up(exchange.program)
        if owner is None:
            raise _refuse("no_owner", "No daemon is there to own this program.")
        return owner

    def _is_here(self, owner: MemberJoined | None) -> bool:
        return owner is not None and self.membership.is_self(owner)

    async def _owner_after_reading_up(self, program: str) -> MemberJoined | None:
        try:
            await self.tail.wait_until_caught_up(
                MEMBERS_STREAM, timeout=_CATCH_UP_SECONDS
            )
        except LogUnavailable:
            _log.warning("Members can't be read; the owner may be out of date.")
        return self.membership.owner(program)

    async def _forward(self, owner: MemberJoined, exchange: Exchange) -> None:
        try:
            with span("locate.forward", owner=owner.name):
                request = evolve(exchange.request, trace=context_headers())
                await self.peers.forward(owner, request, exchange.responder)
        except PeerUnavailable as error:
            _log.warning("Owner {} can't be reached: {}", owner.name, error)
            raise Refusal(
                "owner_unreachable",
                "The daemon that owns this program can't be reached.",
                503,
                ran=error.ran,
                retry_after=_TAKEOVER_SECONDS,
            ) from error


def _refuse(code: str, sentence: str) -> Refusal:
    return Refusal(code, sentence, 503, retry_after=_TAKEOVER_SECONDS)
