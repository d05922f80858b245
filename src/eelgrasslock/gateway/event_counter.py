"""Counts the events of a stream while its bytes are relayed."""

_LINE_ENDS = b"\r\n"


class EventCounter:
    """Counts server-sent events, each of which ends with an empty line.

    A line ends with a line feed, a carriage return, or both.

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
        self._after_return = False

    @property
    def started(self) -> int:
        """The number of events of which at least one byte has passed."""
        return self.completed + self.in_event

    def feed(self, data: bytes) -> None:
        """Count the events in the next bytes."""
        if self._after_return and data.startswith(b"\n"):
            data = data[1:]
        for line in data.splitlines(keepends=True):
            self._feed_line(line)
        self._after_return = data.endswith(b"\r")

    def _feed_line(self, line: bytes) -> None:
        is_empty = not line.strip(_LINE_ENDS)
        if not is_empty:
            self.in_event = True
        elif self._at_line_start:
            self.completed += self.in_event
            self.in_event = False
        self._at_line_start = line[-1] in _LINE_ENDS
