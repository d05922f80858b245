"""Counts the events of a stream while its bytes pass by."""

_LINE_FEED = 0x0A
_RETURN = 0x0D


class EventCounter:
    """Counts server-sent events, which end with an empty line.

    Attributes
    ----------
    whole : int
        Events that have ended.
    in_event : bool
        Whether a part of another one has passed.
    """

    def __init__(self) -> None:
        self.completed = 0
        self.in_event = False
        self._at_line_start = True

    @property
    def started(self) -> int:
        """Events of which any byte has passed."""
        return self.completed + self.in_event

    def feed(self, data: bytes) -> None:
        """Take in the next bytes."""
        for line in data.splitlines(keepends=True):
            self._feed_line(line)

    def _feed_line(self, line: bytes) -> None:
        ends = line[-1] == _LINE_FEED
        is_empty = not line.strip(b"\r\n")
        if is_empty and self._at_line_start and ends:
            self.completed += self.in_event
            self.in_event = False
        elif not is_empty:
            self.in_event = True
            self._at_line_start = False
        if ends:
            self._at_line_start = True
