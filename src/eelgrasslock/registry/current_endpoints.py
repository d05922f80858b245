"""The check that each request passes just before it is sent to an endpoint."""

from eelgrasslock.exchanges.interfaces import FollowedView
from eelgrasslock.registry.endpoint_registry import EndpointRecord, EndpointRegistry


class CurrentEndpoints:
    """Tells whether endpoints may be sent requests, by a view that is not too old.

    Parameters
    ----------
    registry : EndpointRegistry
        The registered endpoints.
    view : FollowedView
        The age of the registry.
    """

    def __init__(self, registry: EndpointRegistry, view: FollowedView) -> None:
        self.registry = registry
        self.view = view

    async def may_send(self, record: EndpointRecord) -> bool:
        """Return whether an endpoint still runs as registered and takes requests.

        It waits for a read of the log if the registry may be outdated.
        """
        await self.view.wait_until_current()
        return self.registry.is_usable(record)
