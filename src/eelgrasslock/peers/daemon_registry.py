"""The daemons that serve routes, as they register themselves in the log."""

import json
import random

from attrs import asdict, frozen
from loguru import logger

from eelgrasslock.log.keyed_log import KeyedRecord

TOPIC = "keyed.daemons"

_log = logger.bind(part="roster")


@frozen(kw_only=True)
class DaemonEntry:
    """One daemon.

    Attributes
    ----------
    name, incarnation, domain : str
        Which daemon it is, and where.
    address : str
        Where it listens for peers, as ``ip:port``.
    """

    name: str
    incarnation: str
    domain: str
    address: str

    def encode(self) -> bytes:
        """Return the entry as a record's value."""
        return json.dumps(asdict(self), separators=(",", ":")).encode()


class DaemonRegistry:
    """The registered daemons by name.

    Parameters
    ----------
    own : DaemonEntry
        This daemon, which is left out.
    rng : random.Random
        Chooses among peers that are alike.
    """

    def __init__(self, own: DaemonEntry, rng: random.Random) -> None:
        self.own = own
        self.rng = rng
        self.entries: dict[str, DaemonEntry] = {}

    def replace_all(self, records: tuple[KeyedRecord, ...]) -> None:
        """Take in the newest record of each key."""
        self.entries.clear()
        self.apply(records)

    def apply(self, records: tuple[KeyedRecord, ...]) -> None:
        """Take in later records, in order."""
        for record in records:
            if record.key == self.own.name:
                continue
            if not record.value:
                self.entries.pop(record.key, None)
                continue
            try:
                entry = DaemonEntry(**json.loads(record.value))
            except (TypeError, ValueError) as error:
                _log.warning("An entry of {} was left out: {}", record.key, error)
                continue
            self.entries[entry.name] = entry

    def set_log_unavailable(self, unavailable: bool) -> None:
        """Keep what is known whether the log answers or not."""

    def find(self, incarnation: str) -> DaemonEntry | None:
        """Return the daemon of an incarnation, if it is still the newest."""
        for entry in self.entries.values():
            if entry.incarnation == incarnation:
                return entry
        return None

    def nearest_first(self) -> list[DaemonEntry]:
        """Return all peers in the order in which to ask them.

        Those of the own domain come first, since bytes between domains cost.
        """
        entries = list(self.entries.values())
        self.rng.shuffle(entries)
        return sorted(entries, key=lambda one: one.domain != self.own.domain)
