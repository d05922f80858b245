"""The registry of endpoints on the platform.

Registrations can expire because of an outage of the log. A registration that
disappears during an outage or just after it is kept until the endpoint has had
time to register again. It is not kept into the time in which the log is calm again
and a removal means that the endpoint leaves.
"""

from attrs import define, field, frozen

from eelgrasslock.clock import Clock

REREGISTRATION_GRACE_SECONDS = 2.2
DEFAULT_STABLE_WINDOW_SECONDS = 3.0
_STABLE_WINDOW_RESERVE_SECONDS = 0.25


@frozen(kw_only=True)
class EndpointRecord:
    """The registration of an endpoint.

    Attributes
    ----------
    id, service, address, domain : str
        Identity and location of the endpoint; `address` is ``ip:port``.
    slots : int
        How many calls the endpoint runs concurrently.
    leaving : bool
        Whether the endpoint takes no new calls because it is about to stop.
    warmup_seconds : float
        How long the endpoint is still slow after its start.
    started_at_ms : int
        When the endpoint started, in milliseconds since the epoch, by its own
        clock.
    version : str
        The version of its software; versions have no order.
    """

    id: str
    service: str
    address: str
    domain: str
    slots: int = 1
    leaving: bool = False
    warmup_seconds: float = 0.0
    started_at_ms: int = 0
    version: str = ""


@define(eq=False)
class EndpointRegistry:
    """The registered endpoints, by id.

    Parameters
    ----------
    clock : Clock
        The source of time.
    stable_window_seconds : float
        From how long after an outage of the log on a removal is final.

    Attributes
    ----------
    entries : dict of str to EndpointRecord
        The registered endpoints, including those that are leaving.
    grace_ends_at : dict of str to float
        When the grace period ends for endpoints whose registration disappeared
        because of an outage of the log, on the monotonic clock.
    said_leaving : dict of str to int
        When the endpoints started that said in an answer that they leave, by id.
    log_failed_at : float
        When the last failed read of the log was sent, on the monotonic clock: the
        outage was not over before.
    log_recovered_at : float
        When the log last became available again, on the monotonic clock.
    log_unavailable : bool
        Whether the log is unavailable.
    """

    clock: Clock
    stable_window_seconds: float = DEFAULT_STABLE_WINDOW_SECONDS
    entries: dict[str, EndpointRecord] = field(factory=dict)
    grace_ends_at: dict[str, float] = field(factory=dict)
    said_leaving: dict[str, int] = field(factory=dict)
    log_failed_at: float = float("-inf")
    log_recovered_at: float = float("-inf")
    log_unavailable: bool = False

    def set_log_unavailable(self, unavailable: bool, read_sent_at: float) -> None:
        """Record whether a read failed, and when it was sent."""
        if unavailable:
            self.log_failed_at = read_sent_at
        elif self.log_unavailable:
            self.log_recovered_at = self.clock.monotonic()
        self.log_unavailable = unavailable

    def find_usable(self, endpoint: str) -> EndpointRecord | None:
        """Return the registration of an endpoint, None if it takes no new calls."""
        record = self.entries.get(endpoint)
        if record is None or record.leaving or endpoint in self.said_leaving:
            return None
        return record

    def mark_leaving(self, record: EndpointRecord) -> bool:
        """Record that an endpoint said that it leaves; return whether that is new.

        This holds until it starts again or is removed, whatever its registration
        says.
        """
        current = self.entries.get(record.id)
        is_same = current is not None and current.started_at_ms == record.started_at_ms
        if not is_same or record.id in self.said_leaving:
            return False
        self.said_leaving[record.id] = record.started_at_ms
        return True

    def is_usable(self, record: EndpointRecord) -> bool:
        """Return whether an endpoint still runs as registered and takes calls."""
        current = self.find_usable(record.id)
        return (
            current is not None
            and current.address == record.address
            and current.started_at_ms == record.started_at_ms
            and current.version == record.version
        )

    def put(self, record: EndpointRecord) -> bool:
        """Add or update a registration; return whether anything changed."""
        self.grace_ends_at.pop(record.id, None)
        if self.said_leaving.get(record.id) != record.started_at_ms:
            self.said_leaving.pop(record.id, None)
        changed = self.entries.get(record.id) != record
        self.entries[record.id] = record
        return changed

    def remove(self, endpoint: str) -> bool:
        """Remove a registration; return whether it was removed at once.

        An endpoint whose registration may have expired in an outage stays for the
        grace period, unless it is leaving.
        """
        if endpoint not in self.entries:
            return False
        now = self.clock.monotonic()
        grace_ends = self._grace_ends()
        if now < grace_ends and not self.entries[endpoint].leaving:
            self.grace_ends_at.setdefault(endpoint, grace_ends)
            return False
        del self.entries[endpoint]
        self.grace_ends_at.pop(endpoint, None)
        self.said_leaving.pop(endpoint, None)
        return True

    def grace_seconds(self, endpoint: str) -> float | None:
        """Return what is left of an endpoint's grace period, None without one."""
        ends_at = self.grace_ends_at.get(endpoint)
        return None if ends_at is None else ends_at - self.clock.monotonic()

    def replace(self, records: list[EndpointRecord]) -> bool:
        """Replace all registrations; return whether anything changed."""
        changed = [self.put(record) for record in records]
        registered = {record.id for record in records}
        removed = [
            self.remove(one) for one in list(self.entries) if one not in registered
        ]
        return any(changed) or any(removed)

    def remove_expired(self) -> list[EndpointRecord]:
        """Remove and return the endpoints whose grace period has ended."""
        now = self.clock.monotonic()
        expired = [one for one, time in self.grace_ends_at.items() if time <= now]
        for endpoint in expired:
            del self.grace_ends_at[endpoint]
            self.said_leaving.pop(endpoint, None)
        return [self.entries.pop(one) for one in expired if one in self.entries]

    def _grace_ends(self) -> float:
        """Return when the grace period of the last outage ends.

        The log may have returned long before a read succeeded, but not before the
        last failed one was sent.
        """
        limit = self.stable_window_seconds - _STABLE_WINDOW_RESERVE_SECONDS
        return min(
            self.log_recovered_at + REREGISTRATION_GRACE_SECONDS,
            self.log_failed_at + limit,
        )
