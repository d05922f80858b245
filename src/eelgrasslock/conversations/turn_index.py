"""The places of the turns of one partition, as far as a daemon knows them."""

from collections import OrderedDict

from attrs import frozen


@frozen(kw_only=True)
class TurnPlace:
    """Where a turn is.

    Attributes
    ----------
    key : int
        The key of the turn.
    offset, size : int
        The offset of its first record, and the bytes of its records.
    holder : str
        The incarnation of a daemon that has it in memory, empty if unknown.
    stored_at : float
        When it was stored or found, on this daemon's monotonic clock.
    """

    key: int
    offset: int
    size: int
    holder: str
    stored_at: float


class TurnIndex:
    """The places of turns by key, and up to where the partition has been read.

    Attributes
    ----------
    read_to : int
        All records before this offset that the log still has are in the index.
    """

    def __init__(self) -> None:
        self.read_to = 0
        self._places: OrderedDict[int, TurnPlace] = OrderedDict()

    def __len__(self) -> int:
        return len(self._places)

    def find(self, key: int) -> TurnPlace | None:
        """Return the place of a turn, None if it is not in the index."""
        return self._places.get(key)

    def put(self, place: TurnPlace) -> None:
        """Add a place, unless a later one of the same turn is known."""
        known = self._places.get(place.key)
        if known is not None and known.offset > place.offset:
            return
        if known is not None and known.offset == place.offset and not place.holder:
            return
        self._places.pop(place.key, None)
        self._places[place.key] = place

    def drop_older(self, oldest: float) -> int | None:
        """Drop the places that were stored before a time.

        Returns
        -------
        int or None
            The offset before which the partition holds no place of the index,
            None if there is no place left or none was dropped.
        """
        dropped = 0
        for key, place in list(self._places.items()):
            if place.stored_at < oldest:
                del self._places[key]
                dropped += 1
        if not dropped or not self._places:
            return None
        return min(place.offset for place in self._places.values())
