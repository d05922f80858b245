"""Makes a daemon forget the crashes of requests that operators released."""

from collections.abc import Callable

from eelgrasslock.configuration.settings import Configuration


class ReleaseOrders:
    """Carries out each release of a configuration once.

    Parameters
    ----------
    release : callable
        Forgets the crashes of a request digest.
    """

    def __init__(self, release: Callable[[str], None]) -> None:
        self.release = release
        self.done: dict[str, int] = {}

    def configure(self, configuration: Configuration) -> None:
        """Carry out the releases that are new in a configuration."""
        for digest, count in configuration.released.items():
            if count > self.done.get(digest, 0):
                self.release(digest)
        self.done = dict(configuration.released)
