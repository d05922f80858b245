"""The endpoints that are registered on the platform.

Answers the pattern of an outage that lets registrations lapse: an entry that
goes while the log was away, or just after, is kept until endpoints have had
time to register again.
"""

from attrs import define, field, frozen

from eelgrasslock.clock import Clock

LAPSE_GRACE_SECONDS = 2.2


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
    cold_seconds : float
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
    cold_seconds: float = 0.0
    born: int = 0


@define(eq=False)
class EndpointDirectory:
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
    log_back : float
        When the log was last found to answer again, on the monotonic clock.
    log_away : bool
        Whether it gives no answers.
    """

    clock: Clock
    entries: dict[str, EndpointRecord] = field(factory=dict)
    lapsed: dict[str, float] = field(factory=dict)
    log_back: float = float("-inf")
    log_away: bool = False

    def set_log_unavailable(self, unavailable: bool) -> None:
        """Take in whether the log answers."""
        if self.log_away and not unavailable:
            self.log_back = self.clock.monotonic()
        self.log_away = unavailable

    def put(self, record: EndpointRecord) -> bool:
        """Take in an entry; return whether it changes what may be used."""
        self.lapsed.pop(record.id, None)
        changed = self.entries.get(record.id) != record
        self.entries[record.id] = record
        return changed

    def remove(self, endpoint: str) -> bool:
        """Take in that an entry has gone; return whether that counts at once."""
        if endpoint not in self.entries:
            return False
        now = self.clock.monotonic()
        grace_ends = self.log_back + LAPSE_GRACE_SECONDS
        if now < grace_ends and not self.entries[endpoint].leaving:
            self.lapsed.setdefault(endpoint, grace_ends)
            return False
        del self.entries[endpoint]
        self.lapsed.pop(endpoint, None)
        return True

    def replace(self, records: list[EndpointRecord]) -> bool:
        """Take in all entries at once; return whether anything changed."""
        changed = [self.put(record) for record in records]
        known = {record.id for record in records}
        gone = [self.remove(one) for one in list(self.entries) if one not in known]
        return any(changed) or any(gone)

    def sweep(self) -> list[str]:
        """Drop the entries whose grace is over, and return their ids."""
        now = self.clock.monotonic()
        due = [one for one, time in self.lapsed.items() if time <= now]
        for endpoint in due:
            del self.lapsed[endpoint]
            self.entries.pop(endpoint, None)
        return due
