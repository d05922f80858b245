"""What the daemons of a run hear of engines and of each other, late and with gaps."""

import random
from functools import partial
from typing import Protocol

from eelgrasslock.scheduling.calls import PeerLoad
from eelgrasslock_measure.front import Front
from eelgrasslock_measure.nodes import EngineNode, Node
from eelgrasslock_measure.scenario import Scenario
from eelgrasslock_measure.virtual_clock import VirtualClock

TICK_SECONDS = 0.25
REPORT_SECONDS = 1.0
HEARTBEAT_SECONDS = 0.5
HEARTBEAT_LAG_SECONDS = 0.05
CACHE_EVENT_LAG_SECONDS = 1.0
CACHE_EVENT_LOSS = 0.05


class NewsRun(Protocol):
    """What the news need of a run."""

    clock: VirtualClock
    rng: random.Random
    scenario: Scenario
    fronts: list[Front]
    nodes: dict[str, Node]
    engines: dict[str, EngineNode]

    def pump(self, front: Front) -> None:
        """Send what a front starts."""


class News:
    """Sends load reports, cache events and heartbeats.

    Parameters
    ----------
    run : NewsRun
        The run.
    """

    def __init__(self, run: NewsRun) -> None:
        self.run = run

    def start(self) -> None:
        """Begin to send news."""
        self.run.clock.after(TICK_SECONDS, self._tick)
        self.run.clock.after(REPORT_SECONDS, self._report)
        if len(self.run.fronts) > 1:
            self.run.clock.after(HEARTBEAT_SECONDS, self._heartbeat)

    def _tick(self) -> None:
        for front in self.run.fronts:
            self.run.pump(front)
        self.run.clock.after(TICK_SECONDS, self._tick)

    def _report(self) -> None:
        for node in self.run.nodes.values():
            if node.is_up:
                self._report_load(node)
        for engine in self.run.engines.values():
            if engine.is_up:
                self._report_cache(engine)
        self.run.clock.after(REPORT_SECONDS, self._report)

    def _report_load(self, node: Node) -> None:
        report = node.report()

        def hear() -> None:
            for front in self.run.fronts:
                front.observe_load(node.name, report)

        self.run.clock.after(self.run.scenario.report_lag, hear)

    def _report_cache(self, engine: EngineNode) -> None:
        event = engine.cache_event()
        if self.run.rng.random() < CACHE_EVENT_LOSS:
            return

        def hear() -> None:
            for front in self.run.fronts:
                front.observe_cache(engine.name, [event])

        self.run.clock.after(CACHE_EVENT_LAG_SECONDS, hear)

    def _heartbeat(self) -> None:
        for number, front in enumerate(self.run.fronts):
            said = front.peer_load()
            word = PeerLoad(
                incarnation=f"daemon-{number}",
                in_flight=said.in_flight,
                waiting=said.waiting,
                suspect_digests=said.suspect_digests,
                open_breakers=said.open_breakers,
            )
            self.run.clock.after(
                HEARTBEAT_LAG_SECONDS,
                partial(self._hear, front, word),
            )
        self.run.clock.after(HEARTBEAT_SECONDS, self._heartbeat)

    def _hear(self, speaker: Front, word: PeerLoad) -> None:
        for front in self.run.fronts:
            if front is not speaker:
                front.observe_peer(word)
