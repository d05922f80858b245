"""What the calls of peers end in."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from eelgrasslock.log.partitioned_log import PartitionedLog
from eelgrasslock.peers.heartbeat_codec import Heartbeat
from eelgrasslock.requests.exchange import Request, Responder

if TYPE_CHECKING:
    from eelgrasslock.log.records import Record


class PeerCallbacks:
    """Callbacks for the calls of peers; the application sets them.

    Attributes
    ----------
    serve_request : callable
        Serves a forwarded request.
    hold_records, held_records : callable
        Keep and give back records that the log has not taken yet.
    encode_config : callable
        Gives the newest accepted configuration, encoded.
    answer_heartbeat : callable
        Takes a peer's heartbeat and gives the answer to it.
    encode_members : callable
        Gives the encoded member table.
    probe_member : callable
        Tells whether a member answers a heartbeat from here.
    log : PartitionedLog or None
        Where a peer's appends and reads go that the log turns away from it.
    release_allowance : callable
        Gives up what is not spent of a program's budget, and returns it.
    offline_usage : callable
        Tells what was spent on a program without the log, and what is drawn.
    """

    def __init__(self) -> None:
        self.serve_request: Callable[[Request, Responder], Awaitable[None]]
        self.serve_request = _serve_nothing
        self.hold_records: Callable[[str, list[Record]], None] = _hold_nothing
        self.held_records: Callable[[str], list[Record]] = lambda stream: []
        self.encode_config: Callable[[], bytes] = lambda: b""
        self.answer_heartbeat: Callable[[Heartbeat], Heartbeat] = lambda beat: beat
        self.encode_members: Callable[[], bytes] = lambda: b""
        self.probe_member: Callable[[str], Awaitable[bool]] = _probe_nobody
        self.log: PartitionedLog | None = None
        self.release_allowance: Callable[[str], int] = lambda program: 0
        self.offline_usage: Callable[[str], tuple[int, int]] = lambda program: (0, 0)


async def _serve_nothing(request: Request, responder: Responder) -> None:
    raise ConnectionRefusedError("No requests are served yet.")


def _hold_nothing(stream: str, records: list[Record]) -> None:
    raise ConnectionRefusedError("No records are held yet.")


async def _probe_nobody(incarnation: str) -> bool:
    return False
