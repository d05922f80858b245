"""Admits requests by their API keys and tells endpoints whose they are."""

from collections.abc import Callable
from typing import Protocol

from eelgrasslock.exceptions import Refusal
from eelgrasslock.exchanges.messages import GatewayRequest
from eelgrasslock.routing.routes import Route
from eelgrasslock.workspaces.workspace import WorkspaceDirectory

UNKNOWN_KEY = "unknown_key"


class CredentialCodec(Protocol):
    """Translates what a request says of its caller."""

    def mark_workspace(self, request: GatewayRequest, name: str) -> GatewayRequest:
        """Return a request that names its workspace in place of its key.

        What the caller said of its workspace itself is dropped; an empty name
        names none.
        """


class WorkspaceAccess:
    """Finds the workspace of each request.

    Parameters
    ----------
    directory : callable
        Returns the workspaces of the configuration in force.
    codec : CredentialCodec
        Takes the key out of a request and puts the workspace's name in.
    """

    def __init__(
        self, directory: Callable[[], WorkspaceDirectory], codec: CredentialCodec
    ) -> None:
        self.directory = directory
        self.codec = codec

    def admit(self, request: GatewayRequest, route: Route) -> GatewayRequest:
        """Return the request as it may be passed on.

        A public route needs no key; a known one still names the workspace.

        Raises
        ------
        Refusal
            If the route needs a key that a workspace holds.
        """
        directory = self.directory()
        if not directory.needs_keys:
            return request
        workspace = directory.find(request.api_key)
        if workspace is None and not route.is_public:
            raise _unknown_key()
        name = "" if workspace is None else workspace.name
        return self.codec.mark_workspace(request, name)

    def admit_relayed(self, request: GatewayRequest) -> GatewayRequest:
        """Return a request of a peer, which has admitted it and taken its key out.

        One of a build that knows no workspaces may still carry the key.

        Raises
        ------
        Refusal
            If no workspace holds that key.
        """
        directory = self.directory()
        if not directory.needs_keys or not request.api_key:
            return request
        workspace = directory.find(request.api_key)
        if workspace is None:
            raise _unknown_key()
        return self.codec.mark_workspace(request, workspace.name)

    def check_still_admitted(self, request: GatewayRequest) -> None:
        """Refuse a request that has waited while its key was taken away.

        Raises
        ------
        Refusal
            If its workspace does not hold the key any more.
        """
        if not request.workspace:
            return
        workspace = self.directory().find(request.api_key)
        if workspace is None or workspace.name != request.workspace:
            raise _unknown_key()


def _unknown_key() -> Refusal:
    return Refusal(UNKNOWN_KEY, "No workspace holds the key of this request.", 401)
