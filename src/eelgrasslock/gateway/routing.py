"""The routing configuration and the endpoints in force, from the platform's records."""

from collections.abc import Callable

from loguru import logger

from eelgrasslock.exceptions import RecordError
from eelgrasslock.gateway.directory import EndpointDirectory, EndpointRecord
from eelgrasslock.gateway.interfaces import Records
from eelgrasslock.gateway.routes import RouteTable, RoutingConfiguration
from eelgrasslock.log.keyed_log import KeyedRecord

_log = logger.bind(part="routing")


class Routing:
    """The newest configuration that could be read; versions never go back.

    Parameters
    ----------
    records : Records
        Reads the platform's records.
    on_change : callable
        Called when another configuration is in force.
    """

    def __init__(self, records: Records, on_change: Callable[[], None]) -> None:
        self.records = records
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

    def set_log_unavailable(self, unavailable: bool) -> None:
        """Keep the configuration in force whether the log answers or not."""

    def _apply(self, record: KeyedRecord) -> None:
        try:
            found = self.records.decode_configuration(record.key, record.value)
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


class Endpoints:
    """Applies the platform's records to the directory of endpoints.

    Parameters
    ----------
    records : Records
        Reads the platform's records.
    directory : EndpointDirectory
        What is known.
    on_change : callable
        Called when what may be used has changed.
    on_reborn : callable
        Called with the id of an endpoint that started anew or has gone.
    """

    def __init__(
        self,
        records: Records,
        directory: EndpointDirectory,
        on_change: Callable[[], None],
        on_reborn: Callable[[str], None],
    ) -> None:
        self.records = records
        self.directory = directory
        self.on_change = on_change
        self.on_reborn = on_reborn

    def set_log_unavailable(self, unavailable: bool) -> None:
        """Take in whether the log answers."""
        self.directory.set_log_unavailable(unavailable)

    def replace_all(self, records: tuple[KeyedRecord, ...]) -> None:
        """Take in the newest record of each key."""
        found = [self._decode(record) for record in records if record.value]
        entries = [entry for entry in found if entry is not None]
        for entry in entries:
            self._note_born(entry)
        if self.directory.replace(entries):
            self.on_change()

    def apply(self, records: tuple[KeyedRecord, ...]) -> None:
        """Take in later records, in order."""
        changed = [self._apply(record) for record in records]
        if any(changed):
            self.on_change()

    def sweep(self) -> None:
        """Drop the endpoints whose time to register again is over."""
        gone = self.directory.sweep()
        for endpoint in gone:
            _log.info("Endpoint {} did not register again.", endpoint)
            self.on_reborn(endpoint)
        if gone:
            self.on_change()

    def _apply(self, record: KeyedRecord) -> bool:
        if not record.value:
            removed = self.directory.remove(record.key)
            if removed:
                _log.info("Endpoint {} has gone.", record.key)
                self.on_reborn(record.key)
            return removed
        entry = self._decode(record)
        if entry is None:
            return False
        self._note_born(entry)
        before = self.directory.entries.get(entry.id)
        if before is None or before.leaving != entry.leaving:
            word = "leaves" if entry.leaving else "is ready"
            _log.info("Endpoint {} of {} {}.", entry.id, entry.service, word)
        return self.directory.put(entry)

    def _note_born(self, entry: EndpointRecord) -> None:
        before = self.directory.entries.get(entry.id)
        if before is not None and before.born != entry.born:
            _log.info("Endpoint {} has started anew.", entry.id)
            self.on_reborn(entry.id)

    def _decode(self, record: KeyedRecord) -> EndpointRecord | None:
        try:
            return self.records.decode_endpoint(record.key, record.value)
        except RecordError as error:
            _log.warning("An entry was left out: {}", error)
            return None
