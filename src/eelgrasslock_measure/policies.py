"""The simple policies that the scheduler is compared with.

Each sends a call at once to the endpoint that it chooses, and refuses by the
same wait limits as the scheduler. All leave out endpoints that are leaving or
have just failed, and all add what they sent themselves to lagging reports.
"""

import random
from collections import deque

import xxhash

from eelgrasslock.clock import Clock
from eelgrasslock.configuration.settings import Configuration
from eelgrasslock.exceptions import Ran, Refusal
from eelgrasslock.requests.usage import Usage
from eelgrasslock.scheduling.admission import wait_limit
from eelgrasslock.scheduling.calls import (
    Assignment,
    CacheEvent,
    Call,
    CallOutcome,
    LoadReport,
    PeerLoad,
)
from eelgrasslock.scheduling.feature_flags import FeatureFlags
from eelgrasslock.scheduling.scheduler import ExpiredCall, Scheduler
from eelgrasslock_measure.front import Front, FrontFactory

_FAILED_SECONDS = 10.0
_RETRIES = 2
_RETRY_SECONDS = 0.2
_LEARNING_RATE = 0.05
_LEAST_RETRY_SECONDS = 1.0


class EndpointNews:
    """What a simple policy knows of one endpoint.

    Parameters
    ----------
    batch_limit : int
        Calls that it runs at once.
    """

    def __init__(self, batch_limit: int) -> None:
        self.batch_limit = batch_limit
        self.reported = 0
        self.sent: deque[float] = deque()
        self.service_seconds = 1.0
        self.leaving = False
        self.failed_until = 0.0

    @property
    def load(self) -> int:
        """The last report and what was sent after it."""
        return self.reported + len(self.sent)

    def observe(self, report: LoadReport) -> None:
        """Take in a report."""
        self.reported = report.running + report.queued
        while self.sent and self.sent[0] <= report.time:
            self.sent.popleft()


class SimplePolicy:
    """Sends each call at once; the subclass chooses.

    Parameters
    ----------
    clock : Clock
        The time.
    rng : random.Random
        The source of chance.
    configuration : Configuration
        The endpoints and limits.
    domain : str
        Not used.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        configuration: Configuration,
        domain: str,
    ) -> None:
        self.clock = clock
        self.rng = rng
        self.limits = configuration.limits
        self.members: dict[str, list[str]] = {}
        self.news: dict[str, EndpointNews] = {}
        for name, settings in configuration.endpoints.items():
            self.members.setdefault(settings.service, []).append(name)
            self.news[name] = EndpointNews(settings.batch_limit)
        self.outbox: list[Assignment] = []
        self.sent_at: dict[str, tuple[str, float]] = {}

    def choose(self, call: Call, names: list[str]) -> str:
        """Return one of the open endpoints."""
        raise NotImplementedError

    def submit(self, call: Call) -> None:
        """Take a call in, or raise `Refusal`."""
        now = self.clock.monotonic()
        names = [
            name
            for name in self.members[call.service]
            if self._is_open(name, now) and name not in call.excluded
        ]
        if not names:
            raise Refusal("no_endpoint", "None is open.", 503, Ran.NO, 2.0)
        name = self.choose(call, names)
        news = self.news[name]
        wait = (news.load + 1 - news.batch_limit) * news.service_seconds
        wait = max(0.0, wait / news.batch_limit)
        limit = wait_limit(self.limits, call.call_class)
        if wait > limit:
            seconds = max(_LEAST_RETRY_SECONDS, wait - limit)
            raise Refusal("overloaded", "Too long a wait.", 429, Ran.NO, seconds)
        news.sent.append(now)
        self.sent_at[call.id] = (name, now)
        self.outbox.append(
            Assignment(
                call=call,
                endpoint=name,
                cached_tokens=0,
                predicted_seconds=0.0,
                reason="",
            )
        )

    def assign(self) -> list[Assignment]:
        """Return the calls that start now."""
        started = self.outbox
        self.outbox = []
        return started

    def expire(self) -> list[ExpiredCall]:
        """Return nothing; calls never wait here."""
        return []

    def progress(self, call_id: str, completion_tokens: int) -> None:
        """Do nothing."""

    def finish(
        self, call_id: str, outcome: CallOutcome, usage: Usage | None = None
    ) -> None:
        """Note the end of a call."""
        name, started = self.sent_at.pop(call_id)
        news = self.news[name]
        now = self.clock.monotonic()
        if outcome is CallOutcome.DONE:
            change = now - started - news.service_seconds
            news.service_seconds += _LEARNING_RATE * change
        else:
            news.failed_until = now + _FAILED_SECONDS

    def retry_delay(self, call: Call, endpoint: str, attempt: int) -> float | None:
        """Return the seconds before a retry, if there is one."""
        if attempt > _RETRIES:
            return None
        return self.rng.uniform(0.0, _RETRY_SECONDS * 2.0**attempt)

    def observe_load(self, endpoint: str, report: LoadReport) -> None:
        """Take in a load report."""
        self.news[endpoint].observe(report)

    def observe_cache(self, endpoint: str, events: list[CacheEvent]) -> None:
        """Do nothing."""

    def observe_peer(self, load: PeerLoad) -> None:
        """Do nothing."""

    def peer_load(self) -> PeerLoad:
        """Return an empty word."""
        return PeerLoad(incarnation="", in_flight={})

    def mark_leaving(self, endpoint: str, leaving: bool, source: str) -> None:
        """Take in that an endpoint leaves."""
        self.news[endpoint].leaving = leaving

    def end_program(self, program: str) -> None:
        """Do nothing."""

    def _is_open(self, name: str, now: float) -> bool:
        news = self.news[name]
        return not news.leaving and news.failed_until <= now


class RandomPolicy(SimplePolicy):
    """Any endpoint."""

    def choose(self, call: Call, names: list[str]) -> str:
        """Return one of the open endpoints."""
        return self.rng.choice(names)


class RoundRobinPolicy(SimplePolicy):
    """One endpoint after the other."""

    turn = 0

    def choose(self, call: Call, names: list[str]) -> str:
        """Return one of the open endpoints."""
        self.turn += 1
        return names[self.turn % len(names)]


class LeastLoadPolicy(SimplePolicy):
    """The endpoint with the least reported load."""

    def choose(self, call: Call, names: list[str]) -> str:
        """Return one of the open endpoints."""
        least = min(self.news[name].load for name in names)
        return self.rng.choice([n for n in names if self.news[n].load == least])


class HashPolicy(SimplePolicy):
    """The rendezvous hash of the program, so that it stays on one endpoint."""

    def choose(self, call: Call, names: list[str]) -> str:
        """Return one of the open endpoints."""
        program = call.program.encode()
        return max(
            names, key=lambda name: xxhash.xxh64_intdigest(program + name.encode())
        )


OURS = "ours"
SIMPLE: dict[str, FrontFactory] = {
    "random": RandomPolicy,
    "round-robin": RoundRobinPolicy,
    "least-load": LeastLoadPolicy,
    "hash": HashPolicy,
}
SWITCHES = (
    "cache",
    "correction",
    "slots",
    "program_order",
    "admission",
    "migration",
    "memory",
    "learning",
    "breakers",
)


class SchedulerFactory:
    """Makes schedulers, all decisions on but one.

    Parameters
    ----------
    off : str
        The decision that is switched off, or empty.
    """

    def __init__(self, off: str = "") -> None:
        self.off = off

    def __call__(
        self,
        clock: Clock,
        rng: random.Random,
        configuration: Configuration,
        domain: str,
    ) -> Front:
        """Return a new scheduler."""
        features = FeatureFlags(**({self.off: False} if self.off else {}))
        return Scheduler(clock, rng, configuration, domain, features)


def front_factory(policy: str) -> FrontFactory:
    """Return the maker of a policy: a simple one, ours, or ours without one part."""
    if policy in SIMPLE:
        return SIMPLE[policy]
    return SchedulerFactory(policy.removeprefix(OURS).removeprefix(" without "))


def ablations() -> list[str]:
    """Return the names of our policy with one decision off each."""
    return [f"{OURS} without {switch}" for switch in SWITCHES]
