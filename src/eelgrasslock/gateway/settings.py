"""The settings of a daemon that serves routes."""

import pathlib

from attrs import frozen

from eelgrasslock.configuration.folder import merge_files
from eelgrasslock.configuration.structuring import structure
from eelgrasslock.exceptions import Finding, SettingsError


@frozen(kw_only=True)
class GatewaySettings:
    """What one daemon needs to know to start.

    Attributes
    ----------
    name, domain : str
        The daemon's name and its failure domain.
    front_address, ready_address : str
        Where it listens for callers, and for the balancer, as ``ip:port``.
    peer_address : str
        Where it listens for peers.
    metrics_address : str
        Where it serves its metrics, or empty.
    store_address : str
        The platform's store.
    store_partitions : int
        How many partitions a topic of the store has.
    store_retention_seconds : float
        How long the store keeps the records of a topic without keys.
    drain_seconds : float
        How long the platform waits after SIGTERM before it kills.
    log_level : str
        The least level that is logged.
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


def load_gateway_settings(path: pathlib.Path) -> GatewaySettings:
    """Return the settings that a file holds.

    Raises
    ------
    SettingsError
        With a `Finding` for each thing that is wrong.
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
