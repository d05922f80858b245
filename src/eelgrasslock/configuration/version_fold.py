"""Decides which records of the stream `config` put a version in force."""

import enum
from collections.abc import Callable

import attrs
from attrs import frozen
from loguru import logger

from eelgrasslock.configuration.folder import LoadedConfiguration
from eelgrasslock.exceptions import SettingsError
from eelgrasslock.log.records import ConfigVersion, PositionedRecord, new_id

_VERDICTS_KEPT = 1_000
_PENDING_KEPT = 100
_FINDINGS_LOGGED = 5

log = logger.bind(part="configuration")


class Outcome(enum.Enum):
    """What became of a published record."""

    ACCEPTED = "accepted"
    VOID = "void"
    REJECTED = "rejected"


@frozen(kw_only=True)
class VersionVerdict:
    """What became of a published record, and what was in force at its place.

    Attributes
    ----------
    outcome : Outcome
        Whether it counts.
    version : int
        The number in force right after it.
    author : str
        Who published that one.
    """

    outcome: Outcome
    version: int
    author: str


@frozen
class CheckedVersion:
    """A version that checks: its whole record, and what it says."""

    record: ConfigVersion
    loaded: LoadedConfiguration


Load = Callable[[dict[str, str]], LoadedConfiguration]


def copy_of(record: ConfigVersion, in_force_at: int, time: float) -> ConfigVersion:
    """Return a record that repeats a version, for the log or for a peer."""
    return attrs.evolve(
        record,
        id=new_id(),
        time=time,
        replaces=record.id,
        republished=True,
        in_force_at=in_force_at,
    )


def original_of(copy: ConfigVersion) -> ConfigVersion:
    """Return the version that a republished record repeats."""
    return attrs.evolve(
        copy, id=copy.replaces, replaces="", republished=False, in_force_at=-1
    )


def apply_changes(record: ConfigVersion, base: ConfigVersion | None) -> ConfigVersion:
    """Return a partial record as a whole one, given the one it replaces."""
    if not record.partial or base is None:
        return record
    files = {**base.files, **record.files}
    files = {name: text for name, text in files.items() if name not in record.removed}
    return attrs.evolve(record, files=files, partial=False, removed=[])


def _has_predecessor(record: ConfigVersion) -> bool:
    return record.republished or record.version > 1


class VersionFold:
    """The configuration in force, as a function of a prefix of the stream.

    A record counts if it names the version in force at its place, has the next
    number and checks. So of two operators who replace the same version the
    second is void at every reader, and the number only grows.

    The function needs the whole prefix, but retention drops its start. A
    republished record carries the function's value across: it says which
    version is in force at the offset `in_force_at`. A reader whose first held
    entry lies behind a gap keeps the records that it sees and judges none of
    them, because the first successor of the version that it knows may lie in
    the gap. Once it meets a copy whose `in_force_at` covers the gap, it judges
    what it has kept beyond that offset, and from there on is like any other
    reader. Until then it serves the newest copy, which is safe: a copy is only
    made of an accepted version, and one with a lower number is never taken.
    A copy that names itself starts the stream afresh (see `publish`).

    Gossip hands over the same copies, so a version that came by gossip obeys
    the same rule; it never decides what a record of the stream is worth.

    Parameters
    ----------
    load : callable
        Checks files; raises `SettingsError`. All readers of a stream must
        agree, so the check reads nothing but the files.

    Attributes
    ----------
    version : CheckedVersion or None
        In force at the end of what was read.
    complete : bool
        Whether no entry before that was missed.
    """

    def __init__(self, load: Load) -> None:
        self.load = load
        self.version: CheckedVersion | None = None
        self.complete = True
        self.verdicts: dict[str, VersionVerdict] = {}
        self._gap_end = -1
        self._judged = -1
        self._pending: list[PositionedRecord] = []

    @property
    def number(self) -> int:
        """The number in force, 0 for none."""
        return self.version.record.version if self.version else 0

    @property
    def record_id(self) -> str:
        """The record id of the version in force, empty for none."""
        return self.version.record.id if self.version else ""

    @property
    def highest_seen(self) -> int:
        """The highest number that may have been given out."""
        numbers = [
            one.record.version
            for one in self._pending
            if isinstance(one.record, ConfigVersion)
        ]
        return max([self.number, *numbers])

    def apply(self, positioned: PositionedRecord) -> None:
        """Take in the stream's next record."""
        record = positioned.record
        if not isinstance(record, ConfigVersion):
            return
        if self.complete and self.version is None and _has_predecessor(record):
            self.note_gap(positioned.offset)
        if record.republished:
            self._take_copy(record, positioned.offset)
        elif self.complete:
            self._judge(positioned)
        else:
            self._keep(positioned)

    def note_gap(self, first: int) -> None:
        """Note that the stream's next record may be at this offset at the least.

        Parameters
        ----------
        first : int
            The oldest offset that the log still holds.
        """
        self.complete = False
        self._gap_end = first - 1
        self._pending.clear()

    def take_gossip(self, copy: ConfigVersion) -> None:
        """Use a peer's copy to close a gap."""
        if not self.complete:
            self._take_copy(copy, -1)

    def _take_copy(self, copy: ConfigVersion, offset: int) -> None:
        in_force_at = copy.in_force_at
        if copy.replaces == copy.id:
            in_force_at = max(in_force_at, offset)
        closes = not self.complete and in_force_at >= self._gap_end
        newer = copy.version > self.number
        rival = copy.version == self.number and copy.replaces != self.record_id
        if (newer or (closes and rival)) and not self._adopt(original_of(copy)):
            return
        if closes:
            self._close_gap(in_force_at)

    def _adopt(self, record: ConfigVersion) -> bool:
        checked = self._check(record)
        if checked is None:
            return False
        if self.complete and self.version is not None:
            log.error("Version {} was missed in the stream.", record.version)
        self.version = checked
        return True

    def _close_gap(self, judged: int) -> None:
        self.complete = True
        self._judged = judged
        pending, self._pending = self._pending, []
        for positioned in pending:
            self._judge(positioned)

    def _keep(self, positioned: PositionedRecord) -> None:
        self._pending.append(positioned)
        if len(self._pending) > _PENDING_KEPT:
            dropped = self._pending.pop(0)
            self._gap_end = max(self._gap_end, dropped.offset)

    def _judge(self, positioned: PositionedRecord) -> None:
        record = positioned.record
        assert isinstance(record, ConfigVersion)
        if positioned.offset <= self._judged or record.id in self.verdicts:
            return
        outcome = self._outcome(record)
        author = self.version.record.author if self.version else ""
        verdict = VersionVerdict(outcome=outcome, version=self.number, author=author)
        self.verdicts[record.id] = verdict
        if len(self.verdicts) > _VERDICTS_KEPT:
            del self.verdicts[next(iter(self.verdicts))]

    def _outcome(self, record: ConfigVersion) -> Outcome:
        if record.id == self.record_id:
            return Outcome.ACCEPTED
        current = self.version.record if self.version else None
        follows = record.replaces == self.record_id
        if not follows or record.version != self.number + 1:
            log.info(
                "Version {} by {} is void: {} is in force.",
                record.version,
                record.author,
                self.number,
            )
            return Outcome.VOID
        checked = self._check(apply_changes(record, current))
        if checked is None:
            return Outcome.REJECTED
        self.version = checked
        return Outcome.ACCEPTED

    def _check(self, record: ConfigVersion) -> CheckedVersion | None:
        try:
            return CheckedVersion(record, self.load(record.files))
        except SettingsError as error:
            findings = error.exceptions
            log.warning(
                "Version {} by {} is rejected with {} findings: {}",
                record.version,
                record.author,
                len(findings),
                "; ".join(str(one) for one in findings[:_FINDINGS_LOGGED]),
            )
            return None
