"""Callbacks that serve the calls of peers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

from eelgrasslock.log.partitioned_log import PartitionedLog
from eelgrasslock.peers.heartbeat_codec import Heartbeat
from eelgrasslock.requests.exchange import Request, Responder

if TYPE_CHECKING:
    from eelgrasslock.log.records import Record

# Serves one call: takes the fields of its message and fills in the results.
CallHandler = Callable[[dict[str, Any], Any], Awaitable[None]]


class PeerCallbacks:
    """Callbacks that serve the calls of peers; the application sets them.

    Attributes
    ----------
    serve_request : callable
        Serves a forwarded request.
    hold_records, held_records : callable
        Keep and return records that the log has not stored yet.
    encode_config : callable
        Returns the newest accepted configuration, encoded.
    answer_heartbeat : callable
        Handles a peer's heartbeat and returns the answer.
    encode_members : callable
        Returns the encoded member table.
    probe_member : callable
        Returns whether a member answers a heartbeat of this daemon.
    log : PartitionedLog or None
        The log for a peer that can't reach it; None if this daemon has none.
    release_allowance : callable
        Releases the unspent tokens of a program, and returns their number.
    offline_usage : callable
        Returns the tokens of a program that were spent without the log, and
        those that are drawn in all.
    grant_requests : callable
        Answers a daemon that asks for tokens of an endpoint with a limit.
    lease_requests : callable
        Answers a daemon that asks for tokens of a workspace's quota.
    tell_streams, find_stream : callable
        Take note of where streams of other daemons began, and tell it.
    tell_turns, find_turn, fetch_turns : callable
        Take note of where turns of conversations are, tell it, and give turns that
        are in memory.
    adopt_draws : callable
        Takes over draws that a stopping daemon could not record.
    tell_silent : callable
        Takes note of calls of other daemons whose endpoint is silent.
    keep_draw, give_draws, fetch_draws : callable
        Keep draws without the log for other daemons, and tell of them.
    """

    def __init__(self) -> None:
        self.serve_request: Callable[[Request, Responder], Awaitable[None]]
        self.serve_request = _serve_nothing
        self.hold_records: Callable[[str, list[Record]], None] = _hold_nothing
        self.held_records: Callable[[str], list[Record]] = lambda stream: []
        self.encode_config: Callable[[], bytes] = lambda: b""
        self.answer_heartbeat: Callable[[Heartbeat], Heartbeat] = lambda received: (
            received
        )
        self.encode_members: Callable[[], bytes] = lambda: b""
        self.probe_member: Callable[[str], Awaitable[bool]] = _probe_nobody
        self.log: PartitionedLog | None = None
        self.release_allowance: Callable[[str], int] = lambda program: 0
        self.offline_usage: Callable[[str], tuple[int, int]] = lambda program: (0, 0)
        self.adopt_draws: CallHandler = _refuse_call
        self.keep_draw: CallHandler = _refuse_call
        self.give_draws: CallHandler = _refuse_call
        self.fetch_draws: CallHandler = _refuse_call
        self.tell_silent: CallHandler = _refuse_call
        self.grant_requests: CallHandler = _refuse_call
        self.lease_requests: CallHandler = _refuse_call
        self.tell_streams: CallHandler = _refuse_call
        self.find_stream: CallHandler = _refuse_call
        self.tell_turns: CallHandler = _refuse_call
        self.find_turn: CallHandler = _refuse_call
        self.fetch_turns: CallHandler = _refuse_call


async def _serve_nothing(request: Request, responder: Responder) -> None:
    raise ConnectionRefusedError("This daemon does not serve requests yet.")


def _hold_nothing(stream: str, records: list[Record]) -> None:
    raise ConnectionRefusedError("This daemon does not hold records yet.")


async def _refuse_call(message: dict[str, Any], results: Any) -> None:
    raise ConnectionRefusedError("This daemon does not serve this call.")


async def _probe_nobody(incarnation: str) -> bool:
    return False
