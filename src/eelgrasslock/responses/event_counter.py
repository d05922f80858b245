"""Counts the events of a stream while its bytes are relayed."""

_LINE_ENDS = b"\r\n"
_ID_FIELD = b"id:"
_MAX_ID_LINE_BYTES = 64


class EventCounter:
    """Counts server-sent events, each of which ends with an empty line.

    A line ends with a line feed, a carriage return, or both.

    Attributes
    ----------
    completed : int
        The number of events that have ended.
    in_event : bool
        Whether a part of another event has passed.
    last_id : int or None
        The id of the last event that has ended and had a number for one.
    is_ordered : bool
        Whether these ids have risen with each event.
    """

    def __init__(self) -> None:
        self.completed = 0
        self.in_event = False
        self.last_id: int | None = None
        self.is_ordered = True
        self._at_line_start = True
        self._after_return = False
        self._line = b""
        self._event_id: int | None = None

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
            self._line = line if self._at_line_start else self._line + line
            self._line = self._line[:_MAX_ID_LINE_BYTES]
        elif self._at_line_start:
            self._end_event()
        self._at_line_start = line[-1] in _LINE_ENDS
        if self._at_line_start and self._line.startswith(_ID_FIELD):
            self._read_id()

    def _read_id(self) -> None:
        text = self._line.removeprefix(_ID_FIELD).strip()
        self._line = b""
        if text.isdigit() and len(text) < _MAX_ID_LINE_BYTES // 2:
            self._event_id = int(text)

    def _end_event(self) -> None:
        self.completed += self.in_event
        self.in_event = False
        if self._event_id is None:
            return
        if self.last_id is not None and self._event_id <= self.last_id:
            self.is_ordered = False
        self.last_id = self._event_id
        self._event_id = None
