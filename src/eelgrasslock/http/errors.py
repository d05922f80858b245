"""Errors of connections."""

from eelgrasslock.exceptions import EelgrassError


class ConnectionBroken(EelgrassError):
    """A connection failed or received invalid HTTP before a response was complete.

    Parameters
    ----------
    message : str
        The cause.
    response_started : bool
        Whether the response had started.
    reset : bool
        Whether the peer reset the connection.
    """

    def __init__(
        self, message: str, response_started: bool, reset: bool = False
    ) -> None:
        super().__init__(message)
        self.response_started = response_started
        self.reset = reset
