"""Keeps the configuration in force, from the log and from peers."""

import random
from collections.abc import Callable
from typing import Any, Protocol

from loguru import logger

from eelgrasslock.clock import Clock
from eelgrasslock.configuration.folder import LoadedConfiguration, load_configuration
from eelgrasslock.configuration.settings import Configuration
from eelgrasslock.configuration.version_fold import (
    CheckedVersion,
    VersionFold,
    VersionVerdict,
    copy_of,
    original_of,
)
from eelgrasslock.configuration.version_keeper import VersionKeeper, Writer
from eelgrasslock.exceptions import RecordError, SettingsError
from eelgrasslock.log.record_codec import decode_batch, encode_batch
from eelgrasslock.log.records import CONFIG_STREAM, ConfigVersion, PositionedRecord

_RETENTION_SECONDS = 3_600.0
_GOSSIP_AFTER_SECONDS = 3.0

log = logger.bind(part="configuration")

OnChange = Callable[[Configuration], None]


class Tail(Protocol):
    """The part of the log tail that is needed here."""

    def follow(
        self, stream: str, handler: Callable[[PositionedRecord], None], start: int = 0
    ) -> None:
        """Hand a stream's records to a handler."""

    def on_gap(self, stream: str, handler: Callable[[int], None]) -> None:
        """Tell a handler the first held offset when records were missed."""

    async def wait_until_caught_up(
        self, stream: str, timeout: float | None = None
    ) -> None:
        """Wait until a stream has been read to its end."""

    async def wait_for_offset(
        self, stream: str, offset: int, timeout: float | None = None
    ) -> None:
        """Wait until a stream has been read up to an offset."""

    def position(self, stream: str) -> int:
        """Return the last offset read."""


class ConfigurationController:
    """Folds the stream `config` and serves the newest accepted version.

    The stream decides (see `VersionFold`). What a peer offers is a copy of a
    version that some daemon has read as accepted; it is served if its number
    is higher than the one served so far, so a daemon that starts or runs while
    it can't reach the log keeps up through its peers, and never goes back.

    Parameters
    ----------
    writer : LogWriter
        Appends copies.
    tail : LogTail
        Gives the stream's records.
    clock : Clock
        The source of time.
    rng : random.Random
        Draws the jitter.
    peers : PeerTransport or None
        Gossips versions.
    retention_seconds : float
        How long the log keeps a record at the least.

    Attributes
    ----------
    served : CheckedVersion or None
        What is served.
    fold : VersionFold
        What the stream says.
    keeper : VersionKeeper
        Keeps a young copy in the log.
    """

    def __init__(
        self,
        writer: Writer,
        tail: Tail,
        clock: Clock,
        rng: random.Random,
        peers: Any = None,
        retention_seconds: float = _RETENTION_SECONDS,
    ) -> None:
        self.writer = writer
        self.tail = tail
        self.clock = clock
        self.peers = peers
        self.retention_seconds = retention_seconds
        self.fold = VersionFold(load_configuration)
        self.keeper = VersionKeeper(self, writer, clock, rng, retention_seconds)
        self.served: CheckedVersion | None = None
        self._served_since = 0.0
        self._in_force_at = -1
        self._gap_since: float | None = None
        self._callbacks: list[OnChange] = []

    @property
    def current(self) -> Configuration | None:
        """The configuration that is served."""
        return self.served.loaded.configuration if self.served else None

    @property
    def loaded(self) -> LoadedConfiguration | None:
        """The same, with the origin of each value."""
        return self.served.loaded if self.served else None

    @property
    def record(self) -> ConfigVersion | None:
        """The whole record of the served version."""
        return self.served.record if self.served else None

    @property
    def version(self) -> int:
        """The number of the served version, 0 for none."""
        return self.served.record.version if self.served else 0

    @property
    def orphaned(self) -> bool:
        """Whether nobody in the fleet can tell what the stream decided.

        A daemon that knows renews its copy several times in a retention, so a
        whole one without any copy means that there is no such daemon.
        """
        if self.fold.complete or self._gap_since is None:
            return False
        waited = self.clock.monotonic() - self._gap_since
        return waited >= self.retention_seconds

    def verdict(self, record_id: str) -> VersionVerdict | None:
        """Return what became of a published record, if it has been read."""
        return self.fold.verdicts.get(record_id)

    def on_change(self, callback: OnChange) -> None:
        """Call back with each configuration that comes in force."""
        self._callbacks.append(callback)

    async def start(self) -> None:
        """Follow the stream, offer versions to peers and keep the copy young."""
        self.tail.follow(CONFIG_STREAM, self.apply)
        self.tail.on_gap(CONFIG_STREAM, self.note_gap)
        if self.peers is not None:
            self.peers.encode_config = self.offer
            self.peers.accept_config = self.accept
            self.peers.config_version = lambda: self.version
        self.keeper.start()

    async def stop(self) -> None:
        """Stop keeping the copy young."""
        await self.keeper.stop()

    def apply(self, positioned: PositionedRecord) -> None:
        """Take in the stream's next record."""
        record = positioned.record
        if not isinstance(record, ConfigVersion):
            return
        self.fold.apply(positioned)
        self._serve(self.fold.version)
        if self._is_served(record):
            self.keeper.note(record)
        self._note_in_force(record)

    def note_gap(self, first: int) -> None:
        """Note that the log no longer holds what lies before an offset."""
        self.fold.note_gap(first)
        if self._gap_since is None:
            self._gap_since = self.clock.monotonic()

    async def catch_up(self, timeout: float) -> None:
        """Wait until the stream has been read to its end.

        Raises
        ------
        LogUnavailable
            If it has not when the timeout passes.
        """
        await self.tail.wait_until_caught_up(CONFIG_STREAM, timeout)

    def make_copy(self) -> ConfigVersion:
        """Return a record that repeats the served version."""
        assert self.served is not None
        known = self._in_force_at
        agrees = self.fold.complete and self.fold.record_id == self.served.record.id
        if agrees or self.orphaned:
            known = max(known, self.tail.position(CONFIG_STREAM))
        return copy_of(self.served.record, known, self.clock.now())

    def offer(self) -> bytes:
        """Return the served version for a peer, empty while it is fresh.

        A fresh version reaches the peers by the log; only who can't read that
        needs to hear of it this way.
        """
        if self.served is None:
            return b""
        if self.clock.monotonic() - self._served_since < _GOSSIP_AFTER_SECONDS:
            return b""
        return encode_batch([self.make_copy()])

    def accept(self, data: bytes) -> None:
        """Take in a version that a peer offers."""
        if not data:
            return
        for copy in decode_batch(data):
            if isinstance(copy, RecordError):
                log.warning("A peer's version is skipped: {}", copy)
            elif isinstance(copy, ConfigVersion) and copy.republished:
                self._accept_copy(copy)

    def _accept_copy(self, copy: ConfigVersion) -> None:
        self.fold.take_gossip(copy)
        self._serve(self.fold.version)
        if copy.version > self.version:
            self._serve(self._check(copy))
        self._note_in_force(copy)

    def _check(self, copy: ConfigVersion) -> CheckedVersion | None:
        try:
            return CheckedVersion(original_of(copy), load_configuration(copy.files))
        except SettingsError as error:
            count = len(error.exceptions)
            log.warning("A peer's version {} has {} findings.", copy.version, count)
            return None

    def _serve(self, checked: CheckedVersion | None) -> None:
        if checked is None or checked.record.version <= self.version:
            return
        self.served = checked
        self._served_since = self.clock.monotonic()
        self._in_force_at = -1
        record = checked.record
        log.info("Version {} by {} is in force.", record.version, record.author)
        for callback in self._callbacks:
            try:
                callback(checked.loaded.configuration)
            except Exception:
                log.exception("Version {} met a fault.", record.version)

    def _is_served(self, record: ConfigVersion) -> bool:
        version_id = record.replaces if record.republished else record.id
        return self.served is not None and version_id == self.served.record.id

    def _note_in_force(self, record: ConfigVersion) -> None:
        if self.fold.complete:
            self._gap_since = None
        if record.republished and self._is_served(record):
            self._in_force_at = max(self._in_force_at, record.in_force_at)
