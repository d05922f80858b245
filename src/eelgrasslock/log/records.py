"""Base class of the records in the platform's log, and fleet-wide records.

Every record has a unique id, by which a reader drops the duplicates of a retried
append.
"""

import uuid

from attrs import field, frozen

CONFIG_STREAM = "config"
MEMBERS_STREAM = "members"


def journal_stream(domain: str) -> str:
    """Return the name of a failure domain's journal stream."""
    return f"journal.{domain}"


def actions_stream(shard: int) -> str:
    """Return the name of one shard's stream of non-idempotent actions."""
    return f"actions.{shard}"


def new_id() -> str:
    """Return a new unique id."""
    return uuid.uuid4().hex


@frozen(kw_only=True)
class Record:
    """Base class of records.

    Attributes
    ----------
    id : str
        Unique to the record, the same on each retry of its append.
    author : str
        The incarnation of the daemon that wrote the record, or the operator's name.
    time : float
        When the record was created, in seconds since the epoch; for people and for
        retention, never for ordering.
    """

    id: str = field(factory=new_id)
    author: str
    time: float


@frozen(kw_only=True)
class ConfigVersion(Record):
    """A new version of the configuration.

    Attributes
    ----------
    version : int
        Number of this version, one more than that of the replaced version.
    replaces : str
        The record id of the version that this one replaces, empty for the first.
        In a republished version, the record id of the version that it repeats.
    files : dict of str to str
        The folder's files, name to text; only the changed files if partial.
    republished : bool
        Whether this repeats a version before the log's retention drops it.
    partial : bool
        Whether files that are not named here are taken from the replaced version.
    removed : list of str
        In a partial version, the names of removed files.
    in_force_at : int
        In a republished version, an offset of the stream at which the version
        that it repeats is in force.
    """

    version: int
    replaces: str
    files: dict[str, str]
    republished: bool = False
    partial: bool = False
    removed: list[str] = field(factory=list)
    in_force_at: int = -1


@frozen(kw_only=True)
class MemberJoined(Record):
    """A daemon's incarnation has started.

    Attributes
    ----------
    incarnation : str
        Id that is unique to one start of one daemon.
    name, domain : str
        The daemon's name and failure domain, from its settings.
    peer_address, http_address : str
        The addresses at which it listens, as ``ip:port``.
    """

    incarnation: str
    name: str
    domain: str
    peer_address: str
    http_address: str


@frozen(kw_only=True)
class MemberRetired(Record):
    """An incarnation will own no program again; the first such record counts.

    Attributes
    ----------
    incarnation : str
        The incarnation that is retired.
    reason : str
        ``left``, ``silent`` or ``replaced``.
    """

    incarnation: str
    reason: str


@frozen(kw_only=True)
class DomainChallenged(Record):
    """Request to a failure domain that seems silent to prove that it is alive.

    Each member of the domain that reads this record appends its own join again.

    Attributes
    ----------
    domain : str
        The challenged failure domain.
    """

    domain: str


@frozen
class PositionedRecord:
    """A record with its position in its stream.

    Attributes
    ----------
    offset : int
        The offset of the entry that contains it.
    index : int
        The record's index in that entry, from 0.
    record : Record
        The record.
    """

    offset: int
    index: int
    record: Record
