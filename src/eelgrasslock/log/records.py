"""What all records in the platform's log have, and those of the whole fleet.

Every record carries an id of its own, so that a reader drops the duplicates
that a retried append leaves behind.
"""

import uuid

from attrs import field, frozen

CONFIG_STREAM = "config"
MEMBERS_STREAM = "members"


def journal_stream(domain: str) -> str:
    """Return the name of a failure domain's journal stream."""
    return f"journal.{domain}"


def actions_stream(shard: int) -> str:
    """Return the name of one stream of non-idempotent actions."""
    return f"actions.{shard}"


def new_id() -> str:
    """Return a fresh unique id."""
    return uuid.uuid4().hex


@frozen(kw_only=True)
class Record:
    """What all records have.

    Attributes
    ----------
    id : str
        Unique to the record, the same on each retry of its append.
    author : str
        The incarnation of the daemon that wrote it, or the operator's name.
    time : float
        When it was made, in seconds since the epoch; for people and for
        retention, never for order.
    """

    id: str = field(factory=new_id)
    author: str
    time: float


@frozen(kw_only=True)
class ConfigVersion(Record):
    """A configuration, put in place of the one it names.

    Attributes
    ----------
    version : int
        The number of this version, one more than the replaced one's.
    replaces : str
        The record id of the version that it replaces, empty for the first.
        For a republished one, the record id of the version that it repeats.
    files : dict of str to str
        The folder's files: name to text; only the changed ones if partial.
    republished : bool
        Whether it repeats a version before the log's retention drops it.
    partial : bool
        Whether the files that it does not name are those of the replaced one.
    removed : list of str
        For a partial one, names of files that are no more.
    in_force_at : int
        For a republished one, an offset of the stream at which the version
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
        Unique to one start of one daemon.
    name, domain : str
        The daemon's name and failure domain, from its settings.
    peer_address, http_address : str
        Where it listens, as ``ip:port``.
    """

    incarnation: str
    name: str
    domain: str
    peer_address: str
    http_address: str


@frozen(kw_only=True)
class MemberRetired(Record):
    """An incarnation will own no program again; the first record counts.

    Attributes
    ----------
    incarnation : str
        The one that is retired.
    reason : str
        ``left``, ``silent`` or ``replaced``.
    """

    incarnation: str
    reason: str


@frozen(kw_only=True)
class DomainChallenged(Record):
    """A domain that looks silent from outside is asked to show that it lives.

    Each of its members that reads this appends its own join again.

    Attributes
    ----------
    domain : str
        The domain that is asked.
    """

    domain: str


@frozen
class PositionedRecord:
    """A record and its place in its stream.

    Attributes
    ----------
    offset : int
        The offset of the entry that holds it.
    index : int
        Its place in that entry, from 0.
    record : Record
        The record.
    """

    offset: int
    index: int
    record: Record
