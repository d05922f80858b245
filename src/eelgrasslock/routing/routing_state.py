"""The routing configuration, read from the log."""

from collections.abc import Callable

from loguru import logger

from eelgrasslock.exceptions import RecordError
from eelgrasslock.exchanges.interfaces import RecordDecoder
from eelgrasslock.log.keyed_log import KeyedRecord
from eelgrasslock.routing.routes import RouteTable, RoutingConfiguration
from eelgrasslock.workspaces.workspace import WorkspaceDirectory

_log = logger.bind(part="routing")


class RoutingState:
    """The newest valid routing configuration; older versions are ignored.

    Parameters
    ----------
    record_decoder : RecordDecoder
        Decodes the platform's records.
    on_change : callable
        Called after a new configuration became active.

    Attributes
    ----------
    current : RoutingConfiguration or None
        The active configuration, None before the first one.
    table : RouteTable
        The routes of the active configuration.
    workspaces : WorkspaceDirectory
        Its workspaces.
    """

    def __init__(
        self, record_decoder: RecordDecoder, on_change: Callable[[], None]
    ) -> None:
        self.record_decoder = record_decoder
        self.on_change = on_change
        self.current: RoutingConfiguration | None = None
        self.table = RouteTable(())
        self.workspaces = WorkspaceDirectory()

    def replace_all(self, records: tuple[KeyedRecord, ...]) -> None:
        """Apply a snapshot, which holds the newest record of each key."""
        self.apply(records)

    def apply(self, records: tuple[KeyedRecord, ...]) -> None:
        """Apply later records, in order."""
        for record in records:
            self._apply(record)

    def set_log_unavailable(self, unavailable: bool, read_sent_at: float) -> None:
        """Do nothing: the configuration stays active while the log is unavailable."""

    def _apply(self, record: KeyedRecord) -> None:
        try:
            configuration = self.record_decoder.decode_configuration(
                record.key, record.value
            )
        except RecordError as error:
            _log.warning("Ignored an invalid configuration: {}", error)
            return
        if configuration is None:
            return
        if self.current is not None and configuration.version <= self.current.version:
            return
        self.current = configuration
        self.table = RouteTable(configuration.routes)
        self.workspaces = WorkspaceDirectory(configuration.workspaces)
        _log.info(
            "Activated configuration version {} with {} routes and {} workspaces.",
            configuration.version,
            len(configuration.routes),
            len(configuration.workspaces),
        )
        self.on_change()
