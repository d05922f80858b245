"""The members of the fleet, built from the `members` stream."""

import json
from typing import Any

from eelgrasslock.exceptions import RecordError
from eelgrasslock.log.record_codec import from_jsonable, to_jsonable
from eelgrasslock.log.records import MemberJoined, MemberRetired, PositionedRecord

_MAX_RETIRED = 8_192


class MemberTable:
    """Membership state, built from the `members` stream.

    The table consists of two grow-only sets: incarnations that joined and
    incarnations that retired. A retired incarnation never comes back. So
    applying records is commutative and idempotent, and the tables of two
    daemons can be merged.

    An unknown incarnation counts as retired, so that the oldest retirements
    can be dropped and the log's retention may delete the records of dead
    members. Live members append their join again before it expires.

    Attributes
    ----------
    offset : int
        The highest offset applied, -1 for none.
    join_offsets : dict of str to int
        Offset of each live member's latest join record, by incarnation.
    """

    def __init__(self) -> None:
        self.offset = -1
        self.join_offsets: dict[str, int] = {}
        self._joined: dict[str, MemberJoined] = {}
        self._retired: dict[str, None] = {}
        self._by_domain: dict[str, list[MemberJoined]] | None = None

    def apply(self, positioned: PositionedRecord) -> None:
        """Apply one record; only joins and retirements change the sets."""
        record = positioned.record
        self.offset = max(self.offset, positioned.offset)
        if isinstance(record, MemberJoined):
            self._join(record)
            self.join_offsets[record.incarnation] = positioned.offset
        elif isinstance(record, MemberRetired):
            self._retire(record.incarnation)

    def live(self, domain: str | None = None) -> list[MemberJoined]:
        """Return the members of a domain, or of all, that are not retired."""
        if domain is None:
            return list(self._joined.values())
        if self._by_domain is None:
            self._by_domain = _group_by_domain(self._joined)
        return list(self._by_domain.get(domain, ()))

    def domains(self) -> list[str]:
        """Return the domains that have a live member, sorted by name."""
        return sorted({member.domain for member in self._joined.values()})

    def is_retired(self, incarnation: str) -> bool:
        """Return whether the table holds a retirement of an incarnation."""
        return incarnation in self._retired

    def find(self, incarnation: str) -> MemberJoined | None:
        """Return a live member, or None if it is retired or unknown."""
        return self._joined.get(incarnation)

    def snapshot(self) -> bytes:
        """Return the encoded table, for a peer that can't read the log."""
        state = {
            "offset": self.offset,
            "joined": [to_jsonable(member) for member in self._joined.values()],
            "retired": list(self._retired),
        }
        return json.dumps(state, separators=(",", ":")).encode()

    def merge(self, snapshot: bytes) -> None:
        """Merge a peer's encoded table into this one.

        Raises
        ------
        RecordError
            If the snapshot can't be decoded; the table is unchanged then.
        """
        offset, joined, retired = _parse_snapshot(snapshot)
        for incarnation in retired:
            self._retire(incarnation)
        for member in joined:
            self._join(member)
        self.offset = max(self.offset, offset)

    def _join(self, member: MemberJoined) -> None:
        if member.incarnation in self._retired:
            return
        self._joined[member.incarnation] = member
        self._by_domain = None

    def _retire(self, incarnation: str) -> None:
        self._retired[incarnation] = None
        self._joined.pop(incarnation, None)
        self.join_offsets.pop(incarnation, None)
        self._by_domain = None
        if len(self._retired) > _MAX_RETIRED:
            del self._retired[next(iter(self._retired))]


def _group_by_domain(joined: dict[str, MemberJoined]) -> dict[str, list[MemberJoined]]:
    groups: dict[str, list[MemberJoined]] = {}
    for member in joined.values():
        groups.setdefault(member.domain, []).append(member)
    return groups


def _parse_snapshot(data: bytes) -> tuple[int, list[MemberJoined], list[str]]:
    try:
        state: dict[str, Any] = json.loads(data)
        joined = [from_jsonable(one, MemberJoined) for one in state["joined"]]
        return int(state["offset"]), joined, [str(one) for one in state["retired"]]
    except (ValueError, KeyError, TypeError) as error:
        raise RecordError("The snapshot is not a valid member table.") from error
