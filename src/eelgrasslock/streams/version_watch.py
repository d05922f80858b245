"""The software versions that a service's endpoints have run of late."""

from collections.abc import Callable, Iterable

from eelgrasslock.clock import Clock


class VersionWatch:
    """Remembers each service's versions for as long as a stream may last.

    Parameters
    ----------
    clock : Clock
        The source of time.
    is_view_current : callable
        Returns whether the endpoints are known as they are now.

    Attributes
    ----------
    window_seconds : float
        How long after its last endpoint a version is remembered: no stream that
        it began can be resumed later.
    """

    def __init__(self, clock: Clock, is_view_current: Callable[[], bool]) -> None:
        self.clock = clock
        self.is_view_current = is_view_current
        self.window_seconds = 0.0
        self._known_since: float | None = None
        self._last_seen: dict[str, dict[str, float]] = {}

    def extend_window(self, seconds: float) -> None:
        """Let the window last as long as a stream of a new configuration may.

        It never gets shorter, as streams of former configurations may go on.
        """
        self.window_seconds = max(self.window_seconds, seconds)

    def update(self, versions: Iterable[tuple[str, str]]) -> None:
        """Record the service and version of each endpoint that is registered now."""
        now = self.clock.monotonic()
        if not self.is_view_current():
            self._known_since = None
        elif self._known_since is None:
            self._known_since = now
        for service, version in set(versions):
            self.note(service, version)
        oldest = now - self.window_seconds
        for service, last_seen in list(self._last_seen.items()):
            for version in [one for one, at in last_seen.items() if at < oldest]:
                del last_seen[version]
            if not last_seen:
                del self._last_seen[service]

    def note(self, service: str, version: str) -> None:
        """Record a version that was registered, for however short a time."""
        now = self.clock.monotonic()
        self._last_seen.setdefault(service, {})[version] = now

    def note_gap(self) -> None:
        """Begin the window anew if versions may have come and gone unseen."""
        if not self.is_view_current():
            self._known_since = None

    def versions(self, service: str) -> set[str]:
        """Return the versions that this daemon has seen within the window."""
        return set(self._last_seen.get(service, ()))

    def only_version(self, service: str) -> str:
        """Return the one version that a stream of a service can have begun at.

        Empty if there may be several: a second one has been seen, or this daemon
        has not known the endpoints as they were for the whole window.
        """
        if self._known_since is None or not self.is_view_current():
            return ""
        if self.clock.monotonic() < self._known_since + self.window_seconds:
            return ""
        versions = self._last_seen.get(service, {})
        return next(iter(versions)) if len(versions) == 1 else ""
