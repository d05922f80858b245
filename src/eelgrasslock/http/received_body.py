"""The bytes of a body that were received and not read yet."""

from collections import deque

from eelgrasslock.http.socket_options import READ_BYTES


class ReceivedBody:
    """Keeps received bytes in order.

    Attributes
    ----------
    size : int
        The number of bytes that wait.
    """

    def __init__(self) -> None:
        self.size = 0
        self._parts: deque[bytes] = deque()

    def add(self, data: bytes) -> None:
        """Add bytes that were received."""
        if data:
            self._parts.append(data)
            self.size += len(data)

    def take(self) -> bytes:
        """Remove and return bytes, not many more than one read brings."""
        taken = [self._parts.popleft()]
        size = len(taken[0])
        while self._parts and size < READ_BYTES:
            taken.append(self._parts.popleft())
            size += len(taken[-1])
        self.size -= size
        return taken[0] if len(taken) == 1 else b"".join(taken)
