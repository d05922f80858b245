"""The settings of a gateway daemon."""

import pathlib

from attrs import frozen

from eelgrasslock.configuration.folder import merge_files
from eelgrasslock.configuration.structuring import structure
from eelgrasslock.exceptions import Finding, SettingsError

_MEGABYTE = 1_000_000


@frozen(kw_only=True)
class GatewaySettings:
    """The settings of one daemon.

    Attributes
    ----------
    name, domain : str
        The daemon's name and its failure domain.
    front_address, ready_address : str
        Where it listens for callers, and for the load balancer's probes, as
        ``ip:port``.
    peer_address : str
        Where it listens for peers.
    metrics_address : str
        Where it serves its metrics; empty for no metrics server.
    store_address : str
        The address of the platform's store.
    store_partitions : int
        The number of partitions of a topic in the store.
    store_retention_seconds : float
        How long the store keeps the records of a topic without keys.
    drain_seconds : float
        How long the platform waits after SIGTERM before it kills the process.
    log_level : str
        The lowest level that is logged.
    endpoint_leave_milliseconds : float
        How long after the log acknowledged that an endpoint leaves a request may
        still reach it.
    configuration_apply_milliseconds : float
        How long after the log acknowledged a configuration an older one may be used.
    stable_window_milliseconds : float
        How long after an outage of the log its records count as written in calm:
        from then on the removal of an endpoint is final.
    conversation_cache_megabytes : float
        How much memory the turns of conversations may take.
    quota_window_seconds : float
        The time in which the requests of a workspace are counted.
    quota_overage : float
        The part of its quota by which it may exceed it in such a time.
    quota_slack : float
        The requests by which it may exceed it besides.
    learns_capacity : bool
        Whether the daemon learns what endpoints take well.
    memory_megabytes : float
        The memory of the machine, which bounds what callers hold; 0 for no bound.
    max_descriptors : int
        The descriptors that the process may open, which bound the connections of
        callers; 0 for no bound.
    is_first_start : bool
        Whether the whole fleet starts for the first time, so that no program has
        been served yet.
    """

    name: str
    domain: str
    front_address: str
    ready_address: str
    peer_address: str
    store_address: str
    store_partitions: int
    store_retention_seconds: float
    drain_seconds: float
    metrics_address: str = ""
    log_level: str = "INFO"
    endpoint_leave_milliseconds: float = 2_000.0
    configuration_apply_milliseconds: float = 2_000.0
    stable_window_milliseconds: float = 3_000.0
    conversation_cache_megabytes: float = 8.0
    quota_window_seconds: float = 5.0
    quota_overage: float = 0.0
    quota_slack: float = 0.0
    learns_capacity: bool = False
    memory_megabytes: float = 0.0
    max_descriptors: int = 0
    is_first_start: bool = False

    @property
    def endpoint_leave_seconds(self) -> float:
        """The bound for endpoints that leave, in seconds."""
        return self.endpoint_leave_milliseconds / 1_000

    @property
    def conversation_cache_bytes(self) -> int:
        """The limit of the turns in memory, in bytes."""
        return int(self.conversation_cache_megabytes * _MEGABYTE)

    @property
    def configuration_apply_seconds(self) -> float:
        """The bound for configurations, in seconds."""
        return self.configuration_apply_milliseconds / 1_000

    @property
    def stable_window_seconds(self) -> float:
        """The stable window in seconds."""
        return self.stable_window_milliseconds / 1_000


def load_gateway_settings(path: pathlib.Path) -> GatewaySettings:
    """Return the settings in a file.

    Raises
    ------
    SettingsError
        With a `Finding` for each error.
    """
    findings: list[Finding] = []
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        findings.append(Finding(f"The file can't be read: {error}.", path.name))
        raise SettingsError("The settings have findings.", findings) from error
    merged = merge_files({path.name: text}, findings)
    settings = structure(merged, GatewaySettings, findings)
    if findings:
        raise SettingsError("The settings have findings.", findings)
    return settings
