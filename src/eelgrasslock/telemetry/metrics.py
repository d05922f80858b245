"""Metrics by statsd, with the list of their names."""

from typing import Protocol

import statsd

from eelgrasslock.configuration.settings import DaemonSettings

PREFIX = "eelgrasslock"

METRICS = {
    "request": "timer: a request from its arrival to its answer's end",
    "refused.<code>": "counter: refusals, by their code",
    "first_token": "timer: a model call from its arrival to its first token",
    "engine_call": "timer: one attempt of a model call on an engine",
    "service_call": "timer: one attempt of a call to a plain service",
    "endpoint_failed.<how>": "counter: failed attempts, by how they failed",
    "retried": "counter: attempts after the first one",
    "resumed": "gauge: broken or silent streams that were resumed since the start",
    "prompt_tokens": "counter: prompt tokens of finished model calls",
    "cached_tokens": "counter: the part of them found in a prefix cache",
    "completion_tokens": "counter: tokens of finished answers",
    "waiting": "gauge: calls that wait for an endpoint",
    "in_flight": "gauge: requests that are being served",
    "unjournaled": "gauge: records of programs that wait for the log",
    "log_available": "gauge: 1 while the log takes appends, 0 while it does not",
    "config_version": "gauge: the configuration in force",
    "suspects": "gauge: members that do not answer",
}


class _Sink(Protocol):
    def incr(self, name: str, count: int) -> None: ...

    def timing(self, name: str, milliseconds: float) -> None: ...

    def gauge(self, name: str, value: float) -> None: ...


class _NoSink:
    def incr(self, name: str, count: int) -> None:
        pass

    def timing(self, name: str, milliseconds: float) -> None:
        pass

    def gauge(self, name: str, value: float) -> None:
        pass


class Metrics:
    """Sends metrics to statsd; does nothing where no address is set.

    Parameters
    ----------
    settings : DaemonSettings
        Gives the address and the daemon's domain and name.
    """

    def __init__(self, settings: DaemonSettings) -> None:
        self._sink: _Sink = _NoSink()
        if settings.statsd_address:
            host, _, port = settings.statsd_address.rpartition(":")
            prefix = f"{PREFIX}.{settings.domain}.{settings.name}"
            self._sink = statsd.StatsClient(host, int(port), prefix=prefix)

    def incr(self, name: str, count: int = 1) -> None:
        """Add to a counter."""
        self._sink.incr(name, count)

    def timing(self, name: str, milliseconds: float) -> None:
        """Record a duration."""
        self._sink.timing(name, milliseconds)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._sink.gauge(name, value)
