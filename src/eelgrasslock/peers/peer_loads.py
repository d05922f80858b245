"""The loads that peers have told of, until the peers are gone."""

from collections.abc import Callable
from typing import TypeVar

from loguru import logger

from eelgrasslock.clock import Clock
from eelgrasslock.peers.members import MemberTable
from eelgrasslock.scheduling.calls import PeerLoad

_KEPT_SECONDS = 12.0
_KEPT_INTERVALS = 3.0

_Told = TypeVar("_Told")

log = logger.bind(part="members")


class PeerLoads:
    """Hands on the loads of peers, and notes who is heard no more.

    Parameters
    ----------
    clock : Clock
        The source of time.

    Attributes
    ----------
    load_callbacks, gone_callbacks : list of callables
        Called with a load, and with the incarnation of a peer that is gone.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.load_callbacks: list[Callable[[PeerLoad], None]] = []
        self.gone_callbacks: list[Callable[[str], None]] = []
        self._heard: dict[str, float] = {}

    def take(self, load: PeerLoad) -> None:
        """Hand on a load that came with a heartbeat."""
        self._heard[load.incarnation] = self.clock.monotonic()
        for callback in self.load_callbacks:
            _call(callback, load)

    def sweep(self, table: MemberTable, interval: float) -> None:
        """Drop the peers that are retired, or silent for several intervals."""
        kept = max(_KEPT_SECONDS, _KEPT_INTERVALS * interval)
        oldest = self.clock.monotonic() - kept
        gone = [
            incarnation
            for incarnation, heard in self._heard.items()
            if heard < oldest or table.is_retired(incarnation)
        ]
        for incarnation in gone:
            del self._heard[incarnation]
            for callback in self.gone_callbacks:
                _call(callback, incarnation)


def _call(callback: Callable[[_Told], None], told: _Told) -> None:
    try:
        callback(told)
    except Exception:
        log.exception("A callback for peers' loads failed.")
