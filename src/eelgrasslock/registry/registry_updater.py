"""Applies the platform's records to the registry of endpoints."""

from collections.abc import Callable

from loguru import logger

from eelgrasslock.exceptions import RecordError
from eelgrasslock.exchanges.interfaces import RecordDecoder
from eelgrasslock.log.keyed_log import KeyedRecord
from eelgrasslock.registry.endpoint_registry import EndpointRecord, EndpointRegistry

_log = logger.bind(part="routing")


class EndpointRegistryUpdater:
    """Applies the platform's records to the registry of endpoints.

    Parameters
    ----------
    record_decoder : RecordDecoder
        Decodes the platform's records.
    endpoint_registry : EndpointRegistry
        The registry to update.
    on_change : callable
        Called after the registry changed.
    on_endpoint_replaced : callable
        Called with the former registration of an endpoint, and with the one under
        which it, or another one at its address, has started.
    on_endpoint_removed : callable
        Called with the registration of an endpoint that was removed.

    Attributes
    ----------
    on_version : callable
        Called with the service and version of each registration that is read, also
        of one whose removal is read at once.
    on_snapshot : callable
        Called before a snapshot is applied: what was registered and removed since the
        last read is not in it.
    """

    def __init__(
        self,
        record_decoder: RecordDecoder,
        endpoint_registry: EndpointRegistry,
        on_change: Callable[[], None],
        on_endpoint_replaced: Callable[[EndpointRecord, EndpointRecord], None],
        on_endpoint_removed: Callable[[EndpointRecord], None],
    ) -> None:
        self.on_endpoint_replaced = on_endpoint_replaced
        self.on_endpoint_removed = on_endpoint_removed
        self.record_decoder = record_decoder
        self.endpoint_registry = endpoint_registry
        self.on_change = on_change
        self.on_version: Callable[[str, str], None] = lambda service, version: None
        self.on_snapshot: Callable[[], None] = lambda: None

    def set_log_unavailable(self, unavailable: bool, read_sent_at: float) -> None:
        """Record whether the log is unavailable."""
        self.endpoint_registry.set_log_unavailable(unavailable, read_sent_at)

    def replace_all(self, records: tuple[KeyedRecord, ...]) -> None:
        """Apply a snapshot, which holds the newest record of each key."""
        decoded = [self._decode(record) for record in records if record.value]
        entries = [entry for entry in decoded if entry is not None]
        self.on_snapshot()
        for entry in entries:
            self.on_version(entry.service, entry.version)
            self._detect_start(entry)
        before = list(self.endpoint_registry.entries.values())
        changed = self.endpoint_registry.replace(entries)
        for one in before:
            if one.id not in self.endpoint_registry.entries:
                self.on_endpoint_removed(one)
        if changed:
            self.on_change()

    def apply(self, records: tuple[KeyedRecord, ...]) -> None:
        """Apply later records, in order."""
        changed = [self._apply(record) for record in records]
        if any(changed):
            self.on_change()

    def remove_expired(self) -> None:
        """Remove the endpoints that did not register again within the grace period."""
        expired = self.endpoint_registry.remove_expired()
        for record in expired:
            _log.info(
                "Removed endpoint {}: it did not register again in time.", record.id
            )
            self.on_endpoint_removed(record)
        if expired:
            self.on_change()

    def _apply(self, record: KeyedRecord) -> bool:
        if not record.value:
            return self._remove(record.key)
        entry = self._decode(record)
        if entry is None:
            return False
        self.on_version(entry.service, entry.version)
        self._detect_start(entry)
        before = self.endpoint_registry.entries.get(entry.id)
        if before is None or before.leaving != entry.leaving:
            state = "leaving" if entry.leaving else "ready"
            _log.info(
                "Endpoint {} of service {} is {}.", entry.id, entry.service, state
            )
        return self.endpoint_registry.put(entry)

    def _remove(self, endpoint: str) -> bool:
        before = self.endpoint_registry.entries.get(endpoint)
        removed = self.endpoint_registry.remove(endpoint)
        grace_seconds = self.endpoint_registry.grace_seconds(endpoint)
        if before is not None and removed:
            _log.info("Removed endpoint {}.", endpoint)
            self.on_endpoint_removed(before)
        elif grace_seconds is not None:
            _log.info(
                "Endpoint {} was removed just after an outage; it has {:.2f} s to"
                " register again.",
                endpoint,
                grace_seconds,
            )
        return removed

    def _detect_start(self, entry: EndpointRecord) -> None:
        """Note that an endpoint has started in the place of a registered one."""
        before = self.endpoint_registry.entries.get(entry.id)
        if before is None:
            before = self._find_at_address(entry.address)
        elif before.started_at_ms == entry.started_at_ms:
            return
        if before is not None:
            _log.info("Endpoint {} is registered where {} was.", entry.id, before.id)
            self.on_endpoint_replaced(before, entry)

    def _find_at_address(self, address: str) -> EndpointRecord | None:
        for entry in self.endpoint_registry.entries.values():
            if entry.address == address and not entry.leaving:
                return entry
        return None

    def _decode(self, record: KeyedRecord) -> EndpointRecord | None:
        try:
            return self.record_decoder.decode_endpoint(record.key, record.value)
        except RecordError as error:
            _log.warning("Ignored an invalid endpoint registration: {}", error)
            return None
