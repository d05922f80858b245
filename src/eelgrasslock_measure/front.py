"""What a daemon of a run decides with."""

import random
from typing import Protocol

from eelgrasslock.clock import Clock
from eelgrasslock.configuration.settings import Configuration
from eelgrasslock.requests.usage import Usage
from eelgrasslock.scheduling.calls import (
    Assignment,
    CacheEvent,
    Call,
    CallOutcome,
    LoadReport,
    PeerLoad,
)
from eelgrasslock.scheduling.scheduler import ExpiredCall


class Front(Protocol):
    """What a daemon of a simulation decides with; `Scheduler` is one."""

    def submit(self, call: Call) -> None:
        """Take a call in, or raise `Refusal`."""

    def assign(self) -> list[Assignment]:
        """Return the calls that start now."""

    def expire(self) -> list[ExpiredCall]:
        """Return the calls that are given up on."""

    def progress(self, call_id: str, completion_tokens: int) -> None:
        """Note a first token."""

    def finish(self, call_id: str, outcome: CallOutcome, usage: Usage = ...) -> None:
        """Note the end of a call."""

    def retry_delay(self, call: Call, endpoint: str, attempt: int) -> float | None:
        """Return the seconds before a retry, if there is one."""

    def observe_load(self, endpoint: str, report: LoadReport) -> None:
        """Take in a load report."""

    def observe_cache(self, endpoint: str, events: list[CacheEvent]) -> None:
        """Take in cache events."""

    def observe_peer(self, load: PeerLoad) -> None:
        """Take in a peer's word."""

    def peer_load(self) -> PeerLoad:
        """Return our word for peers."""

    def mark_leaving(self, endpoint: str, leaving: bool, source: str) -> None:
        """Take in that an endpoint leaves."""

    def end_program(self, program: str) -> None:
        """Drop an ended program."""


class FrontFactory(Protocol):
    """Makes the front of one daemon."""

    def __call__(
        self,
        clock: Clock,
        rng: random.Random,
        configuration: Configuration,
        domain: str,
    ) -> Front:
        """Return a new front."""
