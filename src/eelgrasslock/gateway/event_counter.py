"""Counts the events of a stream while its bytes are relayed."""

_LINE_FEED = 0x0A
_RETURN = 0x0D


class EventCounter:
    """Counts server-sent events, each of which ends with an empty line.

    Attributes
    ----------
    completed : int
        The number of events that have ended.
    in_event : bool
        Whether a part of another event has passed.
    """

    def __init__(self) -> None:
        self.completed = 0
        self.in_event = False
        self._at_line_start = True

    @property
    def started(self) -> int:
        """The number of events of which at least one byte has passed."""
        return self.completed + self.in_event

    def feed(self, data: bytes) -> None:
        """Count the events in the next bytes."""
        for line in data.splitlines(keepends=True):
            self._feed_line(line)

    def _feed_line(self, line: bytes) -> None:
        is_terminated = line[-1] == _LINE_FEED
        is_empty = not line.strip(b"\r\n")
        if is_empty and self._at_line_start and is_terminated:
            self.completed += self.in_event
            self.in_event = False
        elif not is_empty:
            self.in_event = True
            self._at_line_start = False
        if is_terminated:
            self._at_line_start = True
