"""The routing configuration and the endpoints in force, from the platform's records."""

from collections.abc import Callable

from loguru import logger

from eelgrasslock.exceptions import RecordError
from eelgrasslock.gateway.endpoint_registry import EndpointRecord, EndpointRegistry
from eelgrasslock.gateway.interfaces import RecordDecoder
from eelgrasslock.gateway.routes import RouteTable, RoutingConfiguration
from eelgrasslock.log.keyed import KeyedRecord

_log = logger.bind(part="routing")


class RoutingState:
    """The newest configuration that could be read; versions never go back.

    Parameters
    ----------
    record_decoder : Records
        Reads the platform's records.
    on_change : callable
        Called when another configuration is in force.
    """

    def __init__(
        self, record_decoder: RecordDecoder, on_change: Callable[[], None]
    ) -> None:
        self.record_decoder = record_decoder
        self.on_change = on_change
        self.current: RoutingConfiguration | None = None
        self.table = RouteTable(())

    def replace_all(self, records: tuple[KeyedRecord, ...]) -> None:
        """Take in the newest record of each key."""
        self.apply(records)

    def apply(self, records: tuple[KeyedRecord, ...]) -> None:
        """Take in later records, in order."""
        for record in records:
            self._apply(record)

    def note_log(self, away: bool) -> None:
        """Keep the configuration in force whether the log answers or not."""

    def _apply(self, record: KeyedRecord) -> None:
        try:
            found = self.record_decoder.decode_configuration(record.key, record.value)
        except RecordError as error:
            _log.warning("A configuration was left out: {}", error)
            return
        if found is None:
            return
        if self.current is not None and found.version <= self.current.version:
            return
        self.current = found
        self.table = RouteTable(found.routes)
        _log.info(
            "Configuration {} is in force, {} routes.", found.version, len(found.routes)
        )
        self.on_change()


class EndpointRegistryUpdater:
    """Applies the platform's records to the directory of endpoints.

    Parameters
    ----------
    record_decoder : Records
        Reads the platform's records.
    directory : EndpointRegistry
        What is known.
    on_change : callable
        Called when what may be used has changed.
    on_endpoint_reset : callable
        Called with the id of an endpoint that started anew or has gone.
    """

    def __init__(
        self,
        record_decoder: RecordDecoder,
        endpoint_registry: EndpointRegistry,
        on_change: Callable[[], None],
        on_endpoint_reset: Callable[[str], None],
    ) -> None:
        self.record_decoder = record_decoder
        self.endpoint_registry = endpoint_registry
        self.on_change = on_change
        self.on_endpoint_reset = on_endpoint_reset

    def note_log(self, away: bool) -> None:
        """Take in whether the log answers."""
        self.endpoint_registry.note_log(away)

    def replace_all(self, records: tuple[KeyedRecord, ...]) -> None:
        """Take in the newest record of each key."""
        found = [self._decode(record) for record in records if record.value]
        entries = [entry for entry in found if entry is not None]
        for entry in entries:
            self._detect_restart(entry)
        if self.endpoint_registry.replace(entries):
            self.on_change()

    def apply(self, records: tuple[KeyedRecord, ...]) -> None:
        """Take in later records, in order."""
        changed = [self._apply(record) for record in records]
        if any(changed):
            self.on_change()

    def remove_expired(self) -> None:
        """Drop the endpoints whose time to register again is over."""
        gone = self.endpoint_registry.remove_expired()
        for endpoint in gone:
            _log.info("Endpoint {} did not register again.", endpoint)
            self.on_endpoint_reset(endpoint)
        if gone:
            self.on_change()

    def _apply(self, record: KeyedRecord) -> bool:
        if not record.value:
            removed = self.endpoint_registry.remove(record.key)
            if removed:
                _log.info("Endpoint {} has gone.", record.key)
                self.on_endpoint_reset(record.key)
            return removed
        entry = self._decode(record)
        if entry is None:
            return False
        self._detect_restart(entry)
        before = self.endpoint_registry.entries.get(entry.id)
        if before is None or before.leaving != entry.leaving:
            word = "leaves" if entry.leaving else "is ready"
            _log.info("Endpoint {} of {} {}.", entry.id, entry.service, word)
        return self.endpoint_registry.put(entry)

    def _detect_restart(self, entry: EndpointRecord) -> None:
        before = self.endpoint_registry.entries.get(entry.id)
        if before is not None and before.started_at_ms != entry.started_at_ms:
            _log.info("Endpoint {} has started anew.", entry.id)
            self.on_endpoint_reset(entry.id)

    def _decode(self, record: KeyedRecord) -> EndpointRecord | None:
        try:
            return self.record_decoder.decode_endpoint(record.key, record.value)
        except RecordError as error:
            _log.warning("An entry was left out: {}", error)
            return None
