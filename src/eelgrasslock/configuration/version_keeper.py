"""Appends the version in force again before the log's retention drops it."""

import asyncio
import contextlib
import random
from typing import Protocol

from loguru import logger

from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import LogError
from eelgrasslock.log.records import CONFIG_STREAM, ConfigVersion, Record

# Two copies must lie within the retention, so that a reader who starts at the
# older one finds the younger one saying what was in force there.
_COPY_AGE_RATIOS = (0.3, 0.4)
_INTERVAL_RATIO = 0.02
_LOG_TIMEOUT_SECONDS = 30.0

log = logger.bind(part="configuration")


class Writer(Protocol):
    """The part of the log writer that is needed here."""

    async def append(
        self, stream: str, record: Record, timeout: float | None = None
    ) -> int:
        """Append a record and return its offset."""


class Versions(Protocol):
    """What the keeper needs to know of the configuration."""

    @property
    def record(self) -> ConfigVersion | None:
        """The whole record of the served version."""

    @property
    def orphaned(self) -> bool:
        """Whether nobody in the fleet can tell what the stream decided."""

    def make_copy(self) -> ConfigVersion:
        """Return a record that repeats the served version."""

    async def catch_up(self, timeout: float) -> None:
        """Wait until the stream has been read to its end."""


class VersionKeeper:
    """Keeps a young copy of the version in force in the log.

    Every daemon watches with a jittered age of its own; the first copy that
    appears puts the others' off, and a second one does no harm.

    Parameters
    ----------
    versions : ConfigurationController
        Tells the served version.
    writer : LogWriter
        Appends copies.
    clock : Clock
        The source of time.
    rng : random.Random
        Draws the jitter.
    retention_seconds : float
        How long the log keeps a record at the least.
    """

    def __init__(
        self,
        versions: Versions,
        writer: Writer,
        clock: Clock,
        rng: random.Random,
        retention_seconds: float,
    ) -> None:
        self.versions = versions
        self.writer = writer
        self.clock = clock
        self.rng = rng
        self.retention_seconds = retention_seconds
        self._kept: tuple[str, float] = ("", 0.0)
        self._age = self._draw_age()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to watch the age of the newest copy."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop watching."""
        if self._task is None:
            return
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task
        self._task = None

    def note(self, record: ConfigVersion) -> None:
        """Note a version, or a copy of one, that the stream holds."""
        version_id = record.replaces if record.republished else record.id
        time = min(record.time, self.clock.now())
        if version_id != self._kept[0] or time > self._kept[1]:
            self._kept = (version_id, time)
            self._age = self._draw_age()

    @property
    def due(self) -> bool:
        """Whether the log needs a copy."""
        record = self.versions.record
        if record is None:
            return False
        version_id, time = self._kept
        if version_id != record.id or self.versions.orphaned:
            return True
        return self.clock.now() - time >= self._age

    def _draw_age(self) -> float:
        least, most = _COPY_AGE_RATIOS
        return self.retention_seconds * self.rng.uniform(least, most)

    async def _run(self) -> None:
        interval = self.retention_seconds * _INTERVAL_RATIO
        while True:
            await self.clock.sleep(interval * self.rng.uniform(0.5, 1.0))
            try:
                await self._renew()
            except LogError as error:
                log.warning("The version in force is not renewed: {}", error)

    async def _renew(self) -> None:
        if not self.due:
            return
        await self.versions.catch_up(_LOG_TIMEOUT_SECONDS)
        if not self.due:
            return
        copy = self.versions.make_copy()
        await self.writer.append(CONFIG_STREAM, copy, _LOG_TIMEOUT_SECONDS)
        log.info("Version {} is renewed in the log.", copy.version)
