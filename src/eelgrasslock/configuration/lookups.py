"""Questions that parts ask of the configuration in force."""

from eelgrasslock.configuration.controller import ConfigurationController
from eelgrasslock.configuration.settings import (
    Configuration,
    LimitSettings,
    ServiceKind,
    ServiceSettings,
)
from eelgrasslock.exceptions import Refusal
from eelgrasslock.requests.aliases import resolve_models


class Lookups:
    """Answers from whatever configuration is in force when it is asked.

    Parameters
    ----------
    controller : ConfigurationController
        Knows the configuration.
    """

    def __init__(self, controller: ConfigurationController) -> None:
        self.controller = controller

    def known(self) -> Configuration | None:
        """Return the configuration in force, or None while none is known."""
        return self.controller.current

    def current(self) -> Configuration:
        """Return the configuration in force.

        Raises
        ------
        Refusal
            While none is known.
        """
        if self.controller.current is None:
            raise Refusal(
                "no_configuration",
                "This daemon has not learned the deployment's configuration yet.",
                503,
            )
        return self.controller.current

    def limits(self) -> LimitSettings:
        """Return the limits in force."""
        return self.current().limits

    def service(self, name: str) -> ServiceSettings | None:
        """Return a service's settings, or None for an unknown one."""
        return self.current().services.get(name)

    def engine_urls(self) -> dict[str, str]:
        """Return the URLs of all engines by endpoint id."""
        configuration = self.known()
        if configuration is None:
            return {}
        return {
            name: endpoint.url
            for name, endpoint in configuration.endpoints.items()
            if configuration.services[endpoint.service].kind is ServiceKind.ENGINE
        }

    def price(self, model: str) -> float:
        """Return the price of a token of a model, or of an alias's dearest one."""
        configuration = self.current()
        names = resolve_models(configuration, model)
        prices = [configuration.models[name].token_price for name in names]
        return max(prices, default=0.0)
