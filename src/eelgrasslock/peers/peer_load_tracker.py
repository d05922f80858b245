"""Delivery of peers' load reports, and detection of peers that stop sending them."""

from collections.abc import Callable
from typing import TypeVar

from loguru import logger

from eelgrasslock.clock import Clock
from eelgrasslock.peers.member_table import MemberTable
from eelgrasslock.scheduling.calls import PeerLoad

_EXPIRY_SECONDS = 12.0
_EXPIRY_INTERVALS = 3.0

_Argument = TypeVar("_Argument")

log = logger.bind(part="members")


class PeerLoadTracker:
    """Passes peers' load reports to callbacks, and reports peers that are gone.

    Parameters
    ----------
    clock : Clock
        The source of time.

    Attributes
    ----------
    load_callbacks, gone_callbacks : list of callables
        Called with each load report, and with the incarnation of a peer that
        is gone.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.load_callbacks: list[Callable[[PeerLoad], None]] = []
        self.gone_callbacks: list[Callable[[str], None]] = []
        self._last_contact: dict[str, float] = {}

    def record(self, load: PeerLoad) -> None:
        """Pass on the load report of a heartbeat."""
        self._last_contact[load.incarnation] = self.clock.monotonic()
        for callback in self.load_callbacks:
            _call(callback, load)

    def drop_stale(self, table: MemberTable, interval: float) -> None:
        """Drop peers that are retired or sent nothing for several intervals."""
        kept = max(_EXPIRY_SECONDS, _EXPIRY_INTERVALS * interval)
        oldest = self.clock.monotonic() - kept
        gone = [
            incarnation
            for incarnation, last_contact_at in self._last_contact.items()
            if last_contact_at < oldest or table.is_retired(incarnation)
        ]
        for incarnation in gone:
            del self._last_contact[incarnation]
            for callback in self.gone_callbacks:
                _call(callback, incarnation)


def _call(callback: Callable[[_Argument], None], argument: _Argument) -> None:
    try:
        callback(argument)
    except Exception:
        log.exception("A callback for load reports of peers failed.")
