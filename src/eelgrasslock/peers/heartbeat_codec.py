"""Heartbeats, and their delta encoding on a connection."""

from typing import Any

from attrs import frozen

from eelgrasslock.scheduling.calls import PeerLoad

_COUNTS_LIMIT = 32
_LIST_LIMIT = 16
_CALLS_BITS = 16
_CALLS_LIMIT = 0xFFFF
_NAMES_LIMIT = 0x10000
_NEW_NAMES_LIMIT = 8
_SEPARATOR = "\n"


@frozen(kw_only=True)
class Heartbeat:
    """Content of a heartbeat, and of the answer to one.

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


class HeartbeatEncoder:
    """Encodes the heartbeats of one direction of a connection.

    An endpoint's name is sent once; later messages use its number. Only counts
    that changed are sent, the largest changes first, up to a limit; the others
    follow in later heartbeats.
    """

    def __init__(self) -> None:
        self._numbers: dict[str, int] = {}
        self._sent: dict[str, int] = {}
        self._lists: tuple[tuple[str, ...], tuple[str, ...]] = ((), ())

    def encode(self, heartbeat: Heartbeat, message: Any) -> None:
        """Write a heartbeat into a message builder."""
        message.configVersion = heartbeat.config_version
        message.membersOffset = heartbeat.members_offset
        message.retired = heartbeat.retired
        message.waiting = heartbeat.load.waiting
        self._encode_counts(heartbeat.load.in_flight, message)
        self._encode_lists(heartbeat.load, message)

    def _encode_counts(self, in_flight: dict[str, int], message: Any) -> None:
        names: list[str] = []
        counts: list[int] = []
        for endpoint, calls in self._changes(in_flight):
            number = self._endpoint_number(endpoint, names)
            if number is not None and len(counts) < _COUNTS_LIMIT:
                self._sent[endpoint] = calls
                counts.append(number << _CALLS_BITS | min(calls, _CALLS_LIMIT))
        if names:
            message.names = _SEPARATOR.join(names)
        if counts:
            message.counts = counts

    def _endpoint_number(self, endpoint: str, names: list[str]) -> int | None:
        """Return an endpoint's number, or None if it can't be named in this message.

        The name of an endpoint without a number is added to `names`.
        """
        number = self._numbers.get(endpoint)
        if number is not None:
            return number
        full = len(names) >= _NEW_NAMES_LIMIT or len(self._numbers) >= _NAMES_LIMIT
        if full or _SEPARATOR in endpoint:
            return None
        names.append(endpoint)
        number = self._numbers[endpoint] = len(self._numbers)
        return number

    def _changes(self, in_flight: dict[str, int]) -> list[tuple[str, int]]:
        changes = []
        for endpoint in in_flight.keys() | self._sent.keys():
            calls = in_flight.get(endpoint, 0)
            change = abs(calls - self._sent.get(endpoint, 0))
            if change:
                changes.append((-change, endpoint, calls))
        changes.sort()
        return [(endpoint, calls) for _, endpoint, calls in changes]

    def _encode_lists(self, load: PeerLoad, message: Any) -> None:
        digests = load.suspect_digests[-_LIST_LIMIT:]
        breakers = load.open_breakers[-_LIST_LIMIT:]
        if (digests, breakers) == self._lists:
            return
        self._lists = (digests, breakers)
        message.marked = True
        message.digests = list(digests)
        message.breakers = list(breakers)


class HeartbeatDecoder:
    """Decodes the heartbeats of one direction of a connection.

    Parameters
    ----------
    incarnation : str
        The sender, as given in the connection's handshake.
    """

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self._names: list[str] = []
        self._in_flight: dict[str, int] = {}
        self._digests: tuple[str, ...] = ()
        self._breakers: tuple[str, ...] = ()

    def decode(self, message: Any) -> Heartbeat:
        """Return the heartbeat in a message.

        Raises
        ------
        IndexError
            If the message uses the number of an endpoint that was never named.
        """
        if message.names:
            self._names.extend(message.names.split(_SEPARATOR))
        for count in message.counts:
            self._set_calls(self._names[count >> _CALLS_BITS], count & _CALLS_LIMIT)
        if message.marked:
            self._digests = tuple(message.digests)
            self._breakers = tuple(message.breakers)
        load = PeerLoad(
            incarnation=self.incarnation,
            in_flight=dict(self._in_flight),
            waiting=message.waiting,
            suspect_digests=self._digests,
            open_breakers=self._breakers,
        )
        return Heartbeat(
            load=load,
            config_version=message.configVersion,
            members_offset=message.membersOffset,
            retired=message.retired,
        )

    def _set_calls(self, endpoint: str, calls: int) -> None:
        if calls:
            self._in_flight[endpoint] = calls
        else:
            self._in_flight.pop(endpoint, None)
