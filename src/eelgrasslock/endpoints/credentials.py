"""The endpoints' credentials, read from the environment when they are used."""

import os
from collections.abc import Callable, Mapping

from eelgrasslock.configuration.settings import Configuration
from eelgrasslock.telemetry import logs

ConfigurationSource = Callable[[], Configuration | None]


def no_configuration() -> Configuration | None:
    """Return no configuration, where a client needs none."""
    return None


class Credentials:
    """Finds an endpoint's credential by its URL.

    Parameters
    ----------
    configuration : callable
        Returns the configuration in force; it names environment variables.
    environment : mapping of str to str
        Where the credentials are.
    """

    def __init__(
        self,
        configuration: ConfigurationSource,
        environment: Mapping[str, str] = os.environ,
    ) -> None:
        self.configuration = configuration
        self.environment = environment
        self._source: Configuration | None = None
        self._names: dict[str, str] = {}

    def headers(self, url: str) -> dict[str, str]:
        """Return the headers that carry the credential of an endpoint, if any."""
        name = self._name(url)
        credential = self.environment.get(name, "") if name else ""
        if not credential:
            return {}
        logs.hide(credential)
        return {"Authorization": f"Bearer {credential}"}

    def _name(self, url: str) -> str:
        current = self.configuration()
        if current is not self._source:
            self._source = current
            endpoints = current.endpoints.values() if current else ()
            self._names = {one.url.rstrip("/"): one.credential_env for one in endpoints}
        return self._names.get(url.rstrip("/"), "")
