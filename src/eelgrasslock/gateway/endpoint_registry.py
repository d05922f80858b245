"""The endpoints that are registered on the platform.

Answers the pattern of an outage that lets registrations lapse: an entry that
goes while the log was away, or just after, is kept until endpoints have had
time to register again.
"""

from attrs import define, field, frozen

from eelgrasslock.clock import Clock

REREGISTRATION_GRACE_SECONDS = 2.2


@frozen(kw_only=True)
class EndpointRecord:
    """What an endpoint says of itself.

    Attributes
    ----------
    id, service, address, domain : str
        Which endpoint it is, and where; `address` is ``ip:port``.
    slots : int
        How many calls it runs at once.
    leaving : bool
        Whether it takes no new calls.
    warmup_seconds : float
        How long it is still slow after its start.
    born : int
        When it started, in milliseconds since the epoch, by its own clock.
    """

    id: str
    service: str
    address: str
    domain: str
    slots: int = 1
    leaving: bool = False
    warmup_seconds: float = 0.0
    started_at_ms: int = 0


@define(eq=False)
class EndpointRegistry:
    """The registered endpoints by id.

    Parameters
    ----------
    clock : Clock
        The time.

    Attributes
    ----------
    entries : dict of str to EndpointRecord
        Those that may be used, or leave.
    lapsed : dict of str to float
        Entries that went while the log was away, with the time from which
        they count as gone.
    log_recovered_at : float
        When the log was last found to answer again, on the monotonic clock.
    log_unavailable : bool
        Whether it gives no answers.
    """

    clock: Clock
    entries: dict[str, EndpointRecord] = field(factory=dict)
    grace_ends_at: dict[str, float] = field(factory=dict)
    log_recovered_at: float = float("-inf")
    log_unavailable: bool = False

    def note_log(self, away: bool) -> None:
        """Take in whether the log answers."""
        if self.log_unavailable and not away:
            self.log_recovered_at = self.clock.monotonic()
        self.log_unavailable = away

    def put(self, record: EndpointRecord) -> bool:
        """Take in an entry; return whether it changes what may be used."""
        self.grace_ends_at.pop(record.id, None)
        changed = self.entries.get(record.id) != record
        self.entries[record.id] = record
        return changed

    def remove(self, endpoint: str) -> bool:
        """Take in that an entry has gone; return whether that counts at once."""
        if endpoint not in self.entries:
            return False
        now = self.clock.monotonic()
        grace_ends = self.log_recovered_at + REREGISTRATION_GRACE_SECONDS
        if now < grace_ends and not self.entries[endpoint].leaving:
            self.grace_ends_at.setdefault(endpoint, grace_ends)
            return False
        del self.entries[endpoint]
        self.grace_ends_at.pop(endpoint, None)
        return True

    def replace(self, records: list[EndpointRecord]) -> bool:
        """Take in all entries at once; return whether anything changed."""
        changed = [self.put(record) for record in records]
        known = {record.id for record in records}
        gone = [self.remove(one) for one in list(self.entries) if one not in known]
        return any(changed) or any(gone)

    def remove_expired(self) -> list[str]:
        """Drop the entries whose grace is over, and return their ids."""
        now = self.clock.monotonic()
        due = [one for one, time in self.grace_ends_at.items() if time <= now]
        for endpoint in due:
            del self.grace_ends_at[endpoint]
            self.entries.pop(endpoint, None)
        return due
