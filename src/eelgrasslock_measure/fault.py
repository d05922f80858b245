"""The fault of a run: one engine is lost, slow or leaving."""

from functools import partial
from typing import Protocol

from eelgrasslock.requests.usage import Usage
from eelgrasslock.scheduling.calls import CallOutcome
from eelgrasslock_measure.front import Front
from eelgrasslock_measure.nodes import EngineNode
from eelgrasslock_measure.scenario import FaultKind, Scenario
from eelgrasslock_measure.virtual_clock import VirtualClock

VM_LIST_LAG_SECONDS = 2.0
DETECTION_SECONDS = 1.0
OUTAGE_SECONDS = 60.0
SLOWNESS = 3.0


class FaultRun(Protocol):
    """What a fault needs of a run."""

    clock: VirtualClock
    scenario: Scenario
    fronts: list[Front]
    engines: dict[str, EngineNode]

    def ended(self, call_id: str, end: CallOutcome, usage: Usage) -> None:
        """Tell a call's end."""


class Fault:
    """Happens to the first engine, half-way through the run.

    Parameters
    ----------
    run : FaultRun
        The run.
    """

    def __init__(self, run: FaultRun) -> None:
        self.run = run

    def start(self) -> None:
        """Plan the fault of the scenario."""
        half = self.run.scenario.seconds / 2
        engine = next(iter(self.run.engines.values()))
        match self.run.scenario.fault:
            case FaultKind.LOST:
                self.run.clock.at(half, lambda: self._lose(engine))
            case FaultKind.SLOW:
                self.run.clock.at(half, lambda: engine.slow_down(SLOWNESS))
            case FaultKind.LEAVING:
                self.run.clock.at(
                    half + VM_LIST_LAG_SECONDS, lambda: self._leave(engine.name)
                )

    def _lose(self, engine: EngineNode) -> None:
        lost = engine.crash()
        for call_id in lost:
            self.run.clock.after(
                DETECTION_SECONDS,
                partial(self.run.ended, call_id, CallOutcome.BROKEN, Usage()),
            )
        self.run.clock.after(OUTAGE_SECONDS, engine.come_back)

    def _leave(self, endpoint: str) -> None:
        for front in self.run.fronts:
            front.mark_leaving(endpoint, True, "vm-list")
