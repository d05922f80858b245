"""Crashes of endpoints in the log, so that they outlive the daemons that saw them.

A keyed topic holds one record for each daemon and digest. A daemon writes the records
of the crashes that it saw; any daemon removes the records of a request that has
completed, and those that have expired.
"""

import asyncio
import json
import random

from attrs import frozen
from loguru import logger

from eelgrasslock.backoff import Backoff
from eelgrasslock.checked_json import check_integer, check_number, parse_json
from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import LogUnavailable, RecordError
from eelgrasslock.log.keyed_log import KeyedLog, KeyedRecord
from eelgrasslock.scheduling.quarantine import SUSPECT_EXPIRY_SECONDS, Quarantine

TOPIC = "keyed.crashes"
EXPIRY_CHECK_SECONDS = 60.0
MAX_RECORDS = 20_000
MAX_RECORDS_PER_WRITE = 200
MAX_CRASHES = 1_000
MAX_ENDS = 50
MAX_TIME_SECONDS = 2.0**43
_KEY_SEPARATOR = "/"

_log = logger.bind(part="crashes")


@frozen(kw_only=True)
class CrashRecord:
    """The crashes during which one daemon had a request in flight.

    Attributes
    ----------
    digest : str
        The digest of the request.
    author : str
        The incarnation of the daemon.
    crashes : int
        How many crashes it saw.
    at : float
        When it saw the last one, in seconds since the epoch.
    ends : tuple of str
        Names the ends, alike in the records of all daemons that saw them; empty in
        those of older builds.
    """

    digest: str
    author: str
    crashes: int
    at: float
    ends: tuple[str, ...] = ()

    @property
    def key(self) -> str:
        """The key of the record."""
        return make_key(self.digest, self.author)

    def encode(self) -> bytes:
        """Return the value of the record."""
        fields: dict[str, object] = {"crashes": self.crashes, "at": self.at}
        if self.ends:
            fields["ends"] = self.ends
        return json.dumps(fields).encode()


def make_key(digest: str, author: str) -> str:
    """Return the key of a record."""
    return f"{digest}{_KEY_SEPARATOR}{author}"


def decode_crash_record(record: KeyedRecord) -> CrashRecord:
    """Decode a record; it has no crashes if it was removed.

    Raises
    ------
    RecordError
        If it can't be decoded.
    """
    digest, separator, author = record.key.partition(_KEY_SEPARATOR)
    if not (digest and separator and author):
        raise RecordError(f"{record.key!r} names no digest and daemon.")
    if not record.value:
        return CrashRecord(digest=digest, author=author, crashes=0, at=0.0)
    try:
        fields = parse_json(record.value)
        crashes = check_integer(fields["crashes"], "crashes", MAX_CRASHES)
        at = check_number(fields["at"], "at", MAX_TIME_SECONDS)
        ends = _check_ends(fields.get("ends", []))
    except (KeyError, TypeError, ValueError) as error:
        raise RecordError(f"The value can't be read: {error!r}.") from error
    if not crashes:
        raise RecordError("A record without a value has no crashes, and no other.")
    return CrashRecord(digest=digest, author=author, crashes=crashes, at=at, ends=ends)


def _check_ends(value: object) -> tuple[str, ...]:
    if not isinstance(value, list) or len(value) > MAX_ENDS:
        raise TypeError("ends is no short list.")
    if not all(isinstance(one, str) for one in value):
        raise TypeError("ends has what is no name.")
    return tuple(value)


class CrashRecords:
    """Keeps the quarantine and the topic of crashes in step.

    Parameters
    ----------
    log : KeyedLog
        The log that holds the topic.
    quarantine : Quarantine
        Counts the crashes.
    incarnation : str
        This daemon's incarnation.
    clock : Clock
        The source of time.
    rng : random.Random
        Draws the jitter of retries.

    Attributes
    ----------
    records : dict of str to CrashRecord
        The records in the log, by key.
    pending : dict of str to None
        The digests whose records must be written or removed.
    pending_for_others : dict of str to CrashRecord
        Records that must be written for daemons which are gone, by key.
    written : dict of str to float
        The times in this daemon's newest records, by digest.
    """

    def __init__(
        self,
        log: KeyedLog,
        quarantine: Quarantine,
        incarnation: str,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.log = log
        self.quarantine = quarantine
        self.incarnation = incarnation
        self.clock = clock
        self.backoff = Backoff(rng)
        self.rng = rng
        self.records: dict[str, CrashRecord] = {}
        self.pending: dict[str, None] = {}
        self.pending_for_others: dict[str, CrashRecord] = {}
        self.written: dict[str, float] = {}
        self._is_pending = asyncio.Event()
        quarantine.on_change = self._note_change

    # --- the log's records, see `keyed_follower.KeyedState` ---------------------

    def replace_all(self, records: tuple[KeyedRecord, ...]) -> None:
        """Apply a snapshot of the topic."""
        kept = {record.key for record in records}
        for key in self.records.keys() - kept:
            self._remove(self.records[key])
        self.apply(records)

    def apply(self, records: tuple[KeyedRecord, ...]) -> None:
        """Apply later records, in order."""
        for record in records:
            try:
                decoded = decode_crash_record(record)
            except RecordError as error:
                _log.warning("Ignored an unreadable record of a crash: {}", error)
                continue
            self._apply(decoded)

    def set_log_unavailable(self, unavailable: bool, read_sent_at: float) -> None:
        """Keep the records, whether the log is available or not."""

    def _apply(self, record: CrashRecord) -> None:
        if not record.crashes:
            self._remove(record)
        elif len(self.records) < MAX_RECORDS or record.key in self.records:
            self.records[record.key] = record
            if record.author != self.incarnation:
                self.quarantine.load_record(
                    record.author, record.digest, record.crashes, record.ends
                )

    def _remove(self, record: CrashRecord) -> None:
        """Clear the crashes of a record that was removed.

        An own record may have been written again since then, or is about to be.
        """
        removed = self.records.pop(record.key, None)
        if record.author != self.incarnation:
            self.quarantine.load_record(record.author, record.digest, 0)
            return
        is_newest = removed and removed.at == self.written.get(record.digest)
        if is_newest and record.digest not in self.pending:
            del self.written[record.digest]
            self.quarantine.forget_own(record.digest)

    # --- writing ----------------------------------------------------------------

    async def write_changes(self) -> None:
        """Write what has changed, until cancelled; repeat what the log did not take."""
        while True:
            await self._is_pending.wait()
            try:
                await self.flush()
            except LogUnavailable as error:
                _log.info("Records of crashes are not written yet: {}", error)
                await self.clock.sleep(self.backoff.next())
            else:
                self.backoff.reset()

    async def flush(self) -> None:
        """Write the records of all digests that have changed.

        Raises
        ------
        LogUnavailable
            If the log did not answer; the records are written later.
        """
        await self._flush_for_others()
        while self.pending:
            digests = list(self.pending)[:MAX_RECORDS_PER_WRITE]
            self.pending = {one: None for one in self.pending if one not in digests}
            items = [item for digest in digests for item in self._items(digest)]
            try:
                if items:
                    await self.log.put_all(TOPIC, items)
            except BaseException:
                self.pending = dict.fromkeys(digests) | self.pending
                raise
        self._is_pending.clear()

    async def _flush_for_others(self) -> None:
        records = self.pending_for_others
        self.pending_for_others = {}
        try:
            if records:
                items = [(key, one.encode()) for key, one in records.items()]
                await self.log.put_all(TOPIC, items)
        except BaseException:
            self.pending_for_others = records | self.pending_for_others
            raise

    def write_for(self, author: str, digest: str, end: str) -> None:
        """Add an end for a daemon that is gone; several may write the same."""
        before = self.records.get(make_key(digest, author))
        ends = (*(() if before is None else before.ends), end)
        crashes = self.quarantine.crashes_by(author, digest) + 1
        record = self._make_record(digest, author, crashes, ends)
        self.pending_for_others[record.key] = record
        self._is_pending.set()

    async def expire(self) -> None:
        """Remove the records of crashes that are long past.

        Raises
        ------
        LogUnavailable
            If the log did not answer.
        """
        oldest = self.clock.now() - SUSPECT_EXPIRY_SECONDS
        expired = [one.key for one in self.records.values() if one.at < oldest]
        if expired:
            items = [(key, b"") for key in expired[:MAX_RECORDS_PER_WRITE]]
            await self.log.put_all(TOPIC, items)

    def expiry_check_seconds(self) -> float:
        """Return the time to the next check, so that daemons don't check at once."""
        return self.rng.uniform(0.5, 1.5) * EXPIRY_CHECK_SECONDS

    def _note_change(self, digest: str) -> None:
        self.pending[digest] = None
        self._is_pending.set()

    def _items(self, digest: str) -> list[tuple[str, bytes]]:
        """Return the records to write for a digest; an empty value removes one.

        A digest without crashes has completed, so that all records of it go.
        """
        ends = self.quarantine.own_ends(digest)
        if ends:
            record = self._make_record(digest, self.incarnation, len(ends), ends)
            self.written[digest] = record.at
            return [(record.key, record.encode())]
        if self.quarantine.crash_count(digest):
            return []
        keys = {one.key for one in self.records.values() if one.digest == digest}
        if digest in self.written:
            keys.add(make_key(digest, self.incarnation))
        return [(key, b"") for key in sorted(keys)]

    def _make_record(
        self, digest: str, author: str, crashes: int, ends: tuple[str, ...]
    ) -> CrashRecord:
        return CrashRecord(
            digest=digest,
            author=author,
            crashes=min(crashes, MAX_CRASHES),
            at=self.clock.now(),
            ends=ends[-MAX_ENDS:],
        )
