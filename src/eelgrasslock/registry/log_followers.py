"""The topics of the log that a daemon follows."""

import random

from eelgrasslock.clock import Clock
from eelgrasslock.exchanges.interfaces import Topics
from eelgrasslock.failures import crash_records
from eelgrasslock.gateway.settings import GatewaySettings
from eelgrasslock.log.keyed_follower import KeyedFollower, KeyedState
from eelgrasslock.log.keyed_log import KeyedLog
from eelgrasslock.log.read_schedule import ReadSchedule, schedule_for_bound
from eelgrasslock.peers import daemon_registry

DAEMON_REGISTRY_READS = ReadSchedule(wait_seconds=8.0, pause_seconds=0.2)
MAX_CRASH_WAIT_SECONDS = 5.0
CRASH_READS = ReadSchedule(wait_seconds=8.0, pause_seconds=0.2)


class LogFollowers:
    """Keeps the states of the followed topics current.

    Parameters
    ----------
    log : KeyedLog
        The log.
    topics : Topics
        The topics with endpoints and configurations.
    settings : GatewaySettings
        The bounds within which news must be applied.
    clock : Clock
        The source of time.
    rng : random.Random
        The generator for jitter.
    configuration, endpoints, daemons, crashes : KeyedState
        The states that take the records.

    Attributes
    ----------
    configuration, endpoints, daemons, crashes : KeyedFollower
        The followers of the topics.
    """

    def __init__(
        self,
        log: KeyedLog,
        topics: Topics,
        settings: GatewaySettings,
        clock: Clock,
        rng: random.Random,
        configuration: KeyedState,
        endpoints: KeyedState,
        daemons: KeyedState,
        crashes: KeyedState,
    ) -> None:
        self.clock = clock
        self.started_at = clock.monotonic()
        configuration_reads = schedule_for_bound(settings.configuration_apply_seconds)
        endpoint_reads = schedule_for_bound(settings.endpoint_leave_seconds)
        self.configuration = KeyedFollower(
            log, topics.configuration, configuration, clock, rng, configuration_reads
        )
        self.endpoints = KeyedFollower(
            log, topics.endpoints, endpoints, clock, rng, endpoint_reads
        )
        self.daemons = KeyedFollower(
            log, daemon_registry.TOPIC, daemons, clock, rng, DAEMON_REGISTRY_READS
        )
        self.crashes = KeyedFollower(
            log, crash_records.TOPIC, crashes, clock, rng, CRASH_READS
        )

    @property
    def all(self) -> list[KeyedFollower]:
        """All followers."""
        return [*self.outage_signals, self.crashes]

    @property
    def outage_signals(self) -> list[KeyedFollower]:
        """The followers whose reads tell whether the log is available."""
        return [self.configuration, self.endpoints, self.daemons]

    def last_response_at(self) -> float:
        """Return when the log last answered, on the monotonic clock."""
        return max(follower.last_response_at for follower in self.outage_signals)

    @property
    def are_crashes_read(self) -> bool:
        """Whether the crashes that daemons saw before have been read.

        A daemon does not wait for them for ever: it serves without them if only
        their topic can't be read.
        """
        waited_seconds = self.clock.monotonic() - self.started_at
        is_too_long = waited_seconds >= MAX_CRASH_WAIT_SECONDS
        return self.crashes.offset is not None or is_too_long

    def is_endpoints_view_current(self) -> bool:
        """Return whether the view of the endpoints is young enough to be used."""
        return self.endpoints.age() <= self.endpoints.schedule.max_age_seconds
