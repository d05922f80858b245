"""Registry of the daemons that serve routes, kept in a keyed topic of the log."""

import json
import random

from attrs import asdict, frozen
from loguru import logger

from eelgrasslock.checked_json import check_address, check_text, parse_json
from eelgrasslock.log.keyed_log import KeyedRecord

TOPIC = "keyed.daemons"

_log = logger.bind(part="roster")


@frozen(kw_only=True)
class DaemonEntry:
    """Registry entry of one daemon.

    Attributes
    ----------
    name, incarnation, domain : str
        The daemon's name, the incarnation that runs, and its failure domain.
    address : str
        Where the daemon listens for peers, as ``ip:port``.
    """

    name: str
    incarnation: str
    domain: str
    address: str

    def encode(self) -> bytes:
        """Return the entry as the value of a keyed record."""
        return json.dumps(asdict(self), separators=(",", ":")).encode()


def decode_daemon_entry(value: bytes) -> DaemonEntry:
    """Decode the entry of a daemon.

    Raises
    ------
    KeyError, TypeError, ValueError
        If it is none.
    """
    fields = parse_json(value)
    for name in ("name", "incarnation", "domain"):
        check_text(fields[name], name)
    check_address(fields["address"], "address")
    return DaemonEntry(**fields)


class DaemonRegistry:
    """The other registered daemons by name.

    Parameters
    ----------
    own : DaemonEntry
        This daemon's entry, which the registry leaves out.
    rng : random.Random
        Shuffles the peers within a domain.

    Attributes
    ----------
    entries : dict of str to DaemonEntry
        The entries of the others.
    is_own_read : bool
        Whether the own entry was read, and so all that are older.
    """

    def __init__(self, own: DaemonEntry, rng: random.Random) -> None:
        self.own = own
        self.rng = rng
        self.entries: dict[str, DaemonEntry] = {}
        self.is_own_read = False

    def replace_all(self, records: tuple[KeyedRecord, ...]) -> None:
        """Replace all entries by the newest record of each key."""
        self.entries.clear()
        self.apply(records)

    def apply(self, records: tuple[KeyedRecord, ...]) -> None:
        """Apply later records, in order; an empty value removes an entry."""
        for record in records:
            if record.key == self.own.name:
                self.is_own_read |= record.value == self.own.encode()
                continue
            if not record.value:
                self.entries.pop(record.key, None)
                continue
            try:
                entry = decode_daemon_entry(record.value)
            except (KeyError, TypeError, ValueError) as error:
                _log.warning(
                    "Ignored an unreadable registry entry of {}: {}", record.key, error
                )
                continue
            self.entries[entry.name] = entry

    def set_log_unavailable(self, unavailable: bool, read_sent_at: float) -> None:
        """Keep the entries, whether the log is available or not."""

    def find(self, incarnation: str) -> DaemonEntry | None:
        """Return the entry of an incarnation, or None if it is not the newest."""
        for entry in self.entries.values():
            if entry.incarnation == incarnation:
                return entry
        return None

    def nearest_first(self) -> list[DaemonEntry]:
        """Return all peers in random order, those of the own domain first.

        The own domain is preferred because traffic between domains has a cost.
        """
        entries = list(self.entries.values())
        self.rng.shuffle(entries)
        return sorted(entries, key=lambda one: one.domain != self.own.domain)
