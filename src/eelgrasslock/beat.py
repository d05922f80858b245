"""Heartbeats, and how they shrink to what has changed on a connection."""

from typing import Any

from attrs import frozen

from eelgrasslock.scheduling import PeerLoad

_COUNTS_LIMIT = 32
_MARKS_LIMIT = 16
_CALLS_LIMIT = 0xFFFF
_NAMES_LIMIT = 0xFFFF


@frozen(kw_only=True)
class Beat:
    """What a heartbeat says, and its answer too.

    Attributes
    ----------
    load : PeerLoad
        The sender's use of the endpoints.
    config_version : int
        The newest configuration that the sender has accepted.
    members_offset : int
        How far the sender has read the `members` stream.
    retired : bool
        Whether the receiver is retired in the sender's table.
    """

    load: PeerLoad
    config_version: int = 0
    members_offset: int = -1
    retired: bool = False


class BeatEncoder:
    """Writes one direction of one connection's heartbeats.

    An endpoint's name travels once; later it goes by its number. Only counts
    that changed travel, those that changed most first, and no more than fit
    a bound: the others follow with the next heartbeats.
    """

    def __init__(self) -> None:
        self._numbers: dict[str, int] = {}
        self._sent: dict[str, int] = {}
        self._marks: tuple[tuple[str, ...], tuple[str, ...]] = ((), ())

    def fill(self, beat: Beat, message: Any) -> None:
        """Write a heartbeat into a message builder."""
        message.incarnation = beat.load.incarnation
        message.configVersion = beat.config_version
        message.membersOffset = beat.members_offset
        message.retired = beat.retired
        message.waiting = beat.load.waiting
        self._fill_counts(beat.load.in_flight, message)
        self._fill_marks(beat.load, message)

    def _fill_counts(self, in_flight: dict[str, int], message: Any) -> None:
        names: list[str] = []
        counts: list[tuple[int, int]] = []
        for endpoint, calls in self._changes(in_flight):
            number = self._numbers.get(endpoint)
            if number is None:
                if len(self._numbers) > _NAMES_LIMIT:
                    continue
                number = self._numbers[endpoint] = len(self._numbers)
                names.append(endpoint)
            self._sent[endpoint] = calls
            counts.append((number, min(calls, _CALLS_LIMIT)))
        if names:
            message.names = names
        builders = message.init("counts", len(counts))
        for builder, (number, calls) in zip(builders, counts, strict=True):
            builder.endpoint = number
            builder.calls = calls

    def _changes(self, in_flight: dict[str, int]) -> list[tuple[str, int]]:
        changes = []
        for endpoint in in_flight.keys() | self._sent.keys():
            calls = in_flight.get(endpoint, 0)
            change = abs(calls - self._sent.get(endpoint, 0))
            if change:
                changes.append((-change, endpoint, calls))
        changes.sort()
        return [(endpoint, calls) for _, endpoint, calls in changes[:_COUNTS_LIMIT]]

    def _fill_marks(self, load: PeerLoad, message: Any) -> None:
        digests = load.suspect_digests[-_MARKS_LIMIT:]
        breakers = load.open_breakers[-_MARKS_LIMIT:]
        if (digests, breakers) == self._marks:
            return
        self._marks = (digests, breakers)
        message.marked = True
        message.digests = list(digests)
        message.breakers = list(breakers)


class BeatDecoder:
    """Reads one direction of one connection's heartbeats."""

    def __init__(self) -> None:
        self._names: list[str] = []
        self._in_flight: dict[str, int] = {}
        self._digests: tuple[str, ...] = ()
        self._breakers: tuple[str, ...] = ()

    def read(self, message: Any) -> Beat:
        """Return the heartbeat that a message holds.

        Raises
        ------
        IndexError
            If it numbers an endpoint that was never named.
        """
        self._names.extend(message.names)
        for count in message.counts:
            self._count(self._names[count.endpoint], count.calls)
        if message.marked:
            self._digests = tuple(message.digests)
            self._breakers = tuple(message.breakers)
        load = PeerLoad(
            incarnation=message.incarnation,
            in_flight=dict(self._in_flight),
            waiting=message.waiting,
            suspect_digests=self._digests,
            open_breakers=self._breakers,
        )
        return Beat(
            load=load,
            config_version=message.configVersion,
            members_offset=message.membersOffset,
            retired=message.retired,
        )

    def _count(self, endpoint: str, calls: int) -> None:
        if calls:
            self._in_flight[endpoint] = calls
        else:
            self._in_flight.pop(endpoint, None)
