"""Calls between daemons that tell where turns are, ask for it and fetch them."""

from collections.abc import Sequence
from typing import Any

from attrs import frozen

from eelgrasslock.conversations.turn import Turn, TurnLink
from eelgrasslock.conversations.turn_cache import CachedTurn
from eelgrasslock.conversations.turn_codec import decode_turn, encode_turn
from eelgrasslock.conversations.turn_index import TurnPlace
from eelgrasslock.peers.daemon_registry import DaemonEntry
from eelgrasslock.peers.peer_mesh import PeerMesh

# A daemon that is asked to read a partition waits for the log.
READ_TIMEOUT_SECONDS = 0.8


@frozen(kw_only=True)
class FoundTurn:
    """A daemon's answer to the question where a turn is.

    Attributes
    ----------
    place : TurnPlace or None
        Its place, None if the daemon does not know it.
    is_absent : bool
        Whether the log has no such turn: the daemon has read the partition of the
        turn to its end since it was asked.
    """

    place: TurnPlace | None
    is_absent: bool


async def tell_place(
    mesh: PeerMesh, entry: DaemonEntry, places: Sequence[TurnPlace], now: float
) -> None:
    """Tell a daemon where turns are; raises the errors of `PeerMesh.call`."""
    turns = [
        {
            "key": one.key,
            "offset": one.offset,
            "size": one.size,
            "holder": one.holder,
            "seconds": max(0.0, now - one.stored_at),
        }
        for one in places
    ]

    async def send(peer: Any) -> None:
        await peer.tellTurns(turns=turns)

    await mesh.call(entry, send)


def told_places(message: dict[str, Any], now: float) -> list[TurnPlace]:
    """Return the places that another daemon tells."""
    return [
        TurnPlace(
            key=one.key,
            offset=one.offset,
            size=one.size,
            holder=one.holder,
            stored_at=now - one.seconds,
        )
        for one in message["turns"]
    ]


async def ask_place(
    mesh: PeerMesh, entry: DaemonEntry, key: int, reads_log: bool, now: float
) -> FoundTurn:
    """Ask a daemon where a turn is; raises the errors of `PeerMesh.call`.

    Parameters
    ----------
    mesh : PeerMesh
        Calls the daemon.
    entry : DaemonEntry
        The daemon.
    key : int
        The key of the turn.
    reads_log : bool
        Whether it is to read the log if it does not know.
    now : float
        The time on the monotonic clock.
    """

    async def send(peer: Any) -> Any:
        return await peer.findTurn(key=key, readsLog=reads_log)

    if reads_log:
        found = await mesh.call(entry, send, READ_TIMEOUT_SECONDS)
    else:
        found = await mesh.call(entry, send)
    place = None
    if found.isKnown:
        place = TurnPlace(
            key=key,
            offset=found.offset,
            size=found.size,
            holder=found.holder,
            stored_at=now - found.seconds,
        )
    return FoundTurn(place=place, is_absent=found.isAbsent)


def answer_place(results: Any, found: FoundTurn, now: float) -> None:
    """Fill in the answer to a daemon that asks where a turn is."""
    results.isAbsent = found.is_absent
    if found.place is None:
        return
    results.isKnown = True
    results.offset = found.place.offset
    results.size = found.place.size
    results.holder = found.place.holder
    results.seconds = max(0.0, now - found.place.stored_at)


async def fetch_turns(
    mesh: PeerMesh, entry: DaemonEntry, ids: Sequence[str]
) -> list[tuple[Turn, TurnLink]]:
    """Fetch turns that a daemon has in memory; raises the errors of `PeerMesh.call`.

    A turn that it does not have is left out, and so are those that would make its
    answer too long.

    Raises
    ------
    RecordError
        If its answer can't be read.
    """

    async def send(peer: Any) -> Any:
        return await peer.fetchTurns(ids=list(ids))

    answer = await mesh.call(entry, send)
    return [_decode_fetched(one) for one in answer.turns]


def answer_turns(results: Any, found: Sequence[CachedTurn]) -> None:
    """Fill in the answer to a daemon that fetches turns."""
    results.turns = [
        {
            "records": encode_turn(one.turn),
            "offset": one.link.offset,
            "size": one.link.size,
            "storedAt": one.link.stored_at,
        }
        for one in found
    ]


def _decode_fetched(message: Any) -> tuple[Turn, TurnLink]:
    turn = decode_turn([bytes(one) for one in message.records])
    link = TurnLink(
        id=turn.id,
        offset=message.offset,
        size=message.size,
        stored_at=message.storedAt,
    )
    return turn, link
