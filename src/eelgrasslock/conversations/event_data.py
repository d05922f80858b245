"""Reads the data of server-sent events while their bytes are relayed."""

from attrs import frozen

_BYTE_ORDER_MARK = b"\xef\xbb\xbf"
_LINE_ENDS = b"\r\n"


@frozen
class StreamEvent:
    """An event of a stream.

    Attributes
    ----------
    number : int or None
        Its id, None if it has none that is a whole number.
    data : bytes
        Its data, with a line feed between lines.
    """

    number: int | None
    data: bytes


class EventDataReader:
    """Parses a stream of events as the HTML standard defines it.

    A line ends with a line feed, a carriage return, or both; an event ends with an
    empty line, and one without any data line is none.

    Attributes
    ----------
    events : list of StreamEvent
        The events that have ended.
    """

    def __init__(self) -> None:
        self.events: list[StreamEvent] = []
        self._line = bytearray()
        self._data: list[bytes] = []
        self._number: int | None = None
        self._after_return = False
        self._is_first_line = True

    def feed(self, chunk: bytes) -> None:
        """Parse the next bytes."""
        if self._after_return and chunk.startswith(b"\n"):
            chunk = chunk[1:]
            self._after_return = False
        if not chunk:
            return
        for line in chunk.splitlines(keepends=True):
            self._line += line
            if line[-1] in _LINE_ENDS:
                self._end_line(bytes(self._line.rstrip(_LINE_ENDS)))
                self._line.clear()
        self._after_return = chunk.endswith(b"\r")

    def _end_line(self, line: bytes) -> None:
        if self._is_first_line:
            line = line.removeprefix(_BYTE_ORDER_MARK)
            self._is_first_line = False
        if not line:
            self._end_event()
            return
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"data":
            self._data.append(value)
        elif name == b"id":
            is_number = value.isdigit()
            self._number = int(value) if is_number else None

    def _end_event(self) -> None:
        if self._data:
            data = b"\n".join(self._data)
            self.events.append(StreamEvent(self._number, data))
        self._data = []
