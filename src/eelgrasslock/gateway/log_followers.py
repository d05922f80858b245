"""The topics of the log that a daemon follows."""

import random

from eelgrasslock.clock import Clock
from eelgrasslock.gateway.interfaces import Topics
from eelgrasslock.gateway.settings import GatewaySettings
from eelgrasslock.log.keyed_follower import KeyedFollower, KeyedState
from eelgrasslock.log.keyed_log import KeyedLog
from eelgrasslock.log.read_schedule import ReadSchedule, schedule_for_bound
from eelgrasslock.peers import daemon_registry

DAEMON_REGISTRY_READS = ReadSchedule(wait_seconds=8.0, pause_seconds=0.2)


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
    configuration, endpoints, daemons : KeyedState
        The states that take the records.

    Attributes
    ----------
    configuration, endpoints, daemons : KeyedFollower
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
    ) -> None:
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

    @property
    def all(self) -> list[KeyedFollower]:
        """All followers."""
        return [self.configuration, self.endpoints, self.daemons]

    def last_response_at(self) -> float:
        """Return when the log last answered, on the monotonic clock."""
        return max(follower.last_response_at for follower in self.all)

    def outage_start(self) -> float:
        """Return when a current or just ended outage began; infinite without one."""
        return min(follower.outage_started_at() for follower in self.all)

    def is_endpoints_view_current(self) -> bool:
        """Return whether the view of the endpoints is young enough to be used."""
        return self.endpoints.age() <= self.endpoints.schedule.max_age_seconds
