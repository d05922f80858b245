"""Follows a keyed topic: first what is there, then what comes."""

import random
from typing import Protocol

from loguru import logger

from eelgrasslock.backoff import Backoff
from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import LogUnavailable, RecordsExpired
from eelgrasslock.log.keyed_log import KeyedLog, KeyedRecord

# Other ways to the log, and the peers, may come back later than this one.
RECOVERY_SECONDS = 5.0
_RETRY_BASE_SECONDS = 0.05
_RETRY_CAP_SECONDS = 0.5

_log = logger.bind(part="follower")


class KeyedState(Protocol):
    """What a topic's records are applied to."""

    def replace_all(self, records: tuple[KeyedRecord, ...]) -> None:
        """Take in the newest record of each key."""

    def apply(self, records: tuple[KeyedRecord, ...]) -> None:
        """Take in later records, in order."""

    def set_log_unavailable(self, unavailable: bool) -> None:
        """Take in whether the log answers."""


class KeyedFollower:
    """Keeps a state up to date with a keyed topic.

    Parameters
    ----------
    log : KeyedLog
        Where the topic is.
    topic : str
        Its name.
    state : KeyedState
        Told of each record.
    clock : Clock
        The time.
    rng : random.Random
        Spreads the retries.
    wait_seconds : float
        How long a read waits for a first record.
    pause_seconds : float
        How long to gather records between two reads.

    Attributes
    ----------
    answered_at : float
        When the log last answered, on the monotonic clock.
    """

    def __init__(
        self,
        log: KeyedLog,
        topic: str,
        state: KeyedState,
        clock: Clock,
        rng: random.Random,
        wait_seconds: float,
        pause_seconds: float,
    ) -> None:
        self.log = log
        self.topic = topic
        self.state = state
        self.clock = clock
        self.backoff = Backoff(rng, _RETRY_BASE_SECONDS, _RETRY_CAP_SECONDS)
        self.wait_seconds = wait_seconds
        self.pause_seconds = pause_seconds
        self.answered_at = clock.monotonic()
        self.offset: int | None = None
        self.unavailable = False
        self.unavailable_since = float("inf")
        self.recovered_at = float("-inf")

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            try:
                await self.read_once()
            except LogUnavailable as error:
                self._set_unavailable(unavailable=True, reason=str(error))
                await self.clock.sleep(self.backoff.next())
            except RecordsExpired as error:
                _log.info("Read {} anew: {}", self.topic, error)
                self.offset = None
            else:
                self._set_unavailable(unavailable=False)
                self.backoff.reset()
                await self.clock.sleep(self.pause_seconds)

    async def read_once(self) -> None:
        """Read once.

        Raises
        ------
        LogUnavailable
            If the log gave no answer.
        RecordsExpired
            If the topic must be read anew.
        """
        if self.offset is None:
            snapshot = await self.log.snapshot(self.topic)
            self._set_unavailable(unavailable=False)
            self.answered_at = self.clock.monotonic()
            self.state.replace_all(snapshot.records)
            self.offset = snapshot.end
            return
        changes = await self.log.changes(self.topic, self.offset, self.wait_seconds)
        self._set_unavailable(unavailable=False)
        self.answered_at = self.clock.monotonic()
        self.offset = changes.end
        if changes.records:
            self.state.apply(changes.records)

    def outage_started_at(self) -> float:
        """Return since when the log has been away, on the monotonic clock.

        An outage counts for a while after it; infinite if there was none.
        """
        is_over = not self.unavailable and self._is_recovered()
        return float("inf") if is_over else self.unavailable_since

    def _is_recovered(self) -> bool:
        """Return whether the last outage is long over; the next is another one."""
        return self.clock.monotonic() >= self.recovered_at + RECOVERY_SECONDS

    def _set_unavailable(self, unavailable: bool, reason: str = "") -> None:
        if unavailable != self.unavailable:
            self.unavailable = unavailable
            if not unavailable:
                self.recovered_at = self.clock.monotonic()
            elif self._is_recovered():
                self.unavailable_since = self.clock.monotonic()
            word = "lost" if unavailable else "regained"
            _log.info("The log of {} is {}. {}", self.topic, word, reason)
        self.state.set_log_unavailable(unavailable)
