"""Keeps a state up to date with a keyed topic: a snapshot, then changes."""

import asyncio
import random
from typing import Protocol

from loguru import logger

from eelgrasslock.backoff import Backoff
from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import LogUnavailable, RecordsExpired
from eelgrasslock.log.keyed_log import ANSWER_SECONDS, KeyedLog, KeyedRecord
from eelgrasslock.log.read_schedule import ReadSchedule
from eelgrasslock.running_timeout import RunningTimeout

# Other connections to the log, and those to peers, may recover later than this one.
RECOVERY_SECONDS = 5.0
_RETRY_BASE_SECONDS = 0.05
_RETRY_CAP_SECONDS = 0.5

_log = logger.bind(part="follower")


class KeyedState(Protocol):
    """State to which the records of a topic are applied."""

    def replace_all(self, records: tuple[KeyedRecord, ...]) -> None:
        """Apply a snapshot, the newest record of each key."""

    def apply(self, records: tuple[KeyedRecord, ...]) -> None:
        """Apply later records, in order."""

    def set_log_unavailable(self, unavailable: bool, read_sent_at: float) -> None:
        """Set whether the log is unavailable; called after each read.

        Parameters
        ----------
        unavailable : bool
            Whether the read failed.
        read_sent_at : float
            When the read was sent, on the monotonic clock.
        """


class KeyedFollower:
    """Keeps a state up to date with a keyed topic.

    A single read that fails may only have lost its answer: it is repeated at once,
    without waiting for a record. The log is unavailable if that fails, too.

    Parameters
    ----------
    log : KeyedLog
        The log that holds the topic.
    topic : str
        Name of the topic.
    state : KeyedState
        State to which the records are applied.
    clock : Clock
        The time.
    rng : random.Random
        Draws the jitter of retries.
    schedule : ReadSchedule
        The times of the reads.

    Attributes
    ----------
    last_response_at : float
        When the log last answered, on the monotonic clock.
    read_sent_at, confirmed_at : float
        When the last read was sent, and the last one that was answered: the state
        holds all records that were written before the latter.
    offset : int or None
        The offset of the next read, None if a snapshot is needed.
    failures : int
        How many reads in a row failed.
    unavailable : bool
        Whether the log answered neither of the last two reads.
    unavailable_since, recovered_at : float
        Start of the last outage of the log, and when the log last answered again,
        on the monotonic clock.
    """

    def __init__(
        self,
        log: KeyedLog,
        topic: str,
        state: KeyedState,
        clock: Clock,
        rng: random.Random,
        schedule: ReadSchedule,
    ) -> None:
        self.log = log
        self.topic = topic
        self.state = state
        self.clock = clock
        self.backoff = Backoff(rng, _RETRY_BASE_SECONDS, _RETRY_CAP_SECONDS)
        self.schedule = schedule
        self.last_response_at = clock.monotonic()
        self.read_sent_at = self.last_response_at
        self.confirmed_at = float("-inf")
        self.offset: int | None = None
        self.failures = 0
        self.unavailable = False
        self.unavailable_since = float("inf")
        self.recovered_at = float("-inf")
        self._read_ended = asyncio.Event()
        self._is_wanted = asyncio.Event()
        self._confirming = asyncio.Lock()

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            pause_seconds = await self._read_next()
            self._read_ended.set()
            self._read_ended = asyncio.Event()
            await self._pause(pause_seconds)

    async def _pause(self, seconds: float) -> None:
        """Wait between two reads, unless somebody wants what has been written."""
        self._is_wanted.clear()
        pause = asyncio.ensure_future(self.clock.sleep(seconds))
        wanted = asyncio.ensure_future(self._is_wanted.wait())
        try:
            await asyncio.wait({pause, wanted}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            pause.cancel()
            wanted.cancel()

    async def _read_next(self) -> float:
        """Read once; return the pause before the next read in seconds."""
        try:
            is_behind = await self.read_once()
        except LogUnavailable as error:
            return self._record_failure(str(error))
        except RecordsExpired as error:
            _log.info("Taking a new snapshot of topic {}: {}", self.topic, error)
            self.offset = None
            return 0.0
        self.failures = 0
        self.backoff.reset()
        return 0.0 if is_behind else self.schedule.pause_seconds

    def _record_failure(self, reason: str) -> float:
        """Record that a read failed; return the pause before the next one."""
        self.failures += 1
        if self.failures == 1:
            return 0.0
        self._set_unavailable(unavailable=True, reason=reason)
        return self.backoff.next()

    async def read_once(self) -> bool:
        """Read the snapshot or the next changes.

        Returns
        -------
        bool
            Whether the log has more records already.

        Raises
        ------
        LogUnavailable
            If the log did not answer.
        RecordsExpired
            If a new snapshot is needed.
        """
        self.read_sent_at = self.clock.monotonic()
        if self.offset is None:
            snapshot = await self.log.snapshot(self.topic, self._answer_seconds())
            self._set_unavailable(unavailable=False)
            self.last_response_at = self.clock.monotonic()
            self._replace_all(snapshot.records)
            self.offset = snapshot.end
            self.confirmed_at = self.read_sent_at
            return False
        wait_seconds = 0.0 if self.failures else self.schedule.wait_seconds
        changes = await self.log.changes(
            self.topic, self.offset, wait_seconds, self._answer_seconds()
        )
        self._set_unavailable(unavailable=False)
        self.last_response_at = self.clock.monotonic()
        self.offset = changes.end
        if changes.records:
            self._apply(changes.records)
        if not changes.is_behind:
            self.confirmed_at = self.read_sent_at
        return changes.is_behind

    def _replace_all(self, records: tuple[KeyedRecord, ...]) -> None:
        try:
            self.state.replace_all(records)
        except Exception:
            _log.exception("A snapshot of topic {} failed as a whole.", self.topic)
            self._apply_singly(records)

    def _apply(self, records: tuple[KeyedRecord, ...]) -> None:
        try:
            self.state.apply(records)
        except Exception:
            _log.exception("Records of topic {} failed together.", self.topic)
            self._apply_singly(records)

    def _apply_singly(self, records: tuple[KeyedRecord, ...]) -> None:
        """Apply the records that can be applied; applying one twice is harmless."""
        for record in records:
            try:
                self.state.apply((record,))
            except Exception as error:
                _log.error(
                    "Left out the record {!r} of topic {}: {!r}",
                    record.key,
                    self.topic,
                    error,
                )

    def _answer_seconds(self) -> float:
        """Return how long an answer may take; longer once the log is unavailable."""
        return ANSWER_SECONDS if self.unavailable else self.schedule.answer_seconds

    async def confirm(self, seconds: float) -> bool:
        """Return whether the state holds all that was written before this call.

        The log is asked, for a number of seconds at most. One question serves all
        that wait for the one before it.
        """
        asked_at = self.clock.monotonic()
        try:
            async with RunningTimeout(seconds):
                async with self._confirming:
                    if self.confirmed_at < asked_at:
                        await self._ask_for_news(seconds)
                while self.confirmed_at < asked_at and not self.failures:
                    self._is_wanted.set()
                    await self._read_ended.wait()
        except (TimeoutError, LogUnavailable, RecordsExpired):
            return False
        return self.confirmed_at >= asked_at

    async def _ask_for_news(self, seconds: float) -> None:
        """Confirm the state if the log has nothing that it lacks.

        What the log has is left to the next read, so that records are applied in
        order.
        """
        offset = self.offset
        if offset is None:
            return
        sent_at = self.clock.monotonic()
        news = await self.log.changes(self.topic, offset, 0.0, seconds)
        if not news.records and not news.is_behind and self.offset is not None:
            self.confirmed_at = max(self.confirmed_at, sent_at)

    def age(self) -> float:
        """Return how old the state may be, in seconds; infinite before the first."""
        return self.clock.monotonic() - self.confirmed_at

    def is_current(self) -> bool:
        """Return whether the state may be used.

        It may be older than its bound only while the log is unavailable.
        """
        return self.unavailable or self.age() <= self.schedule.max_age_seconds

    async def wait_until_current(self) -> None:
        """Wait until the state may be used: for a read or two at most."""
        while not self.is_current():
            await self._read_ended.wait()

    def outage_started_at(self) -> float:
        """Return when the present outage started, on the monotonic clock.

        Infinite if there is none. An outage counts until `RECOVERY_SECONDS` after
        its end; a failure before that belongs to the same outage.
        """
        is_over = not self.unavailable and self._is_recovered()
        return float("inf") if is_over else self.unavailable_since

    def _is_recovered(self) -> bool:
        """Return whether the recovery time after the last outage has passed."""
        return self.clock.monotonic() >= self.recovered_at + RECOVERY_SECONDS

    def _lost_milliseconds(self) -> int | None:
        """Return how long the last outage has lasted or did, None before the first."""
        if self.unavailable_since == float("inf"):
            return None
        return round((self.clock.monotonic() - self.unavailable_since) * 1_000)

    def _set_unavailable(self, unavailable: bool, reason: str = "") -> None:
        if unavailable != self.unavailable:
            self.unavailable = unavailable
            if not unavailable:
                self.recovered_at = self.clock.monotonic()
            elif self._is_recovered():
                self.unavailable_since = self.clock.monotonic()
            word = "lost" if unavailable else "regained"
            _log.bind(
                read_ms=round((self.clock.monotonic() - self.read_sent_at) * 1_000),
                lost_ms=self._lost_milliseconds(),
            ).info("Topic {}: the log is {}. {}", self.topic, word, reason)
        self.state.set_log_unavailable(unavailable, self.read_sent_at)
