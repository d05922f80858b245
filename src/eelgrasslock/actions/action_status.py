"""Asks a plain service what became of an action whose answer was lost."""

import json
from collections.abc import Callable
from urllib.parse import quote

from eelgrasslock.actions.action_records import ActionResult
from eelgrasslock.actions.action_sweep import StatusAnswer
from eelgrasslock.configuration.settings import Configuration, EndpointSettings
from eelgrasslock.endpoints.service_client import (
    PlainAnswer,
    PlainRequest,
    ServiceClient,
)
from eelgrasslock.exceptions import EelgrassError

_STATUS_TIMEOUT_SECONDS = 5.0
_OK = 200
_ACTION_PLACEHOLDER = "{action}"
_UNKNOWN = StatusAnswer(result=ActionResult.UNKNOWN)


class ActionStatusClient:
    """The status call of services whose settings name a `status_path`.

    Only a service's word that an action ran is taken. Its word that it knows
    nothing of it is not: the request may still be on its way there.

    Parameters
    ----------
    services : ServiceClient
        Sends the call.
    configuration : callable
        Returns the configuration in force, or None while there is none.
    """

    def __init__(
        self,
        services: ServiceClient,
        configuration: Callable[[], Configuration | None],
    ) -> None:
        self.services = services
        self.configuration = configuration

    async def query(self, service: str, action: str) -> StatusAnswer:
        """Return what a service says of an action.

        Raises
        ------
        EndpointError
            If no endpoint answers.
        """
        configuration = self.configuration()
        settings = configuration.services.get(service) if configuration else None
        if configuration is None or settings is None or not settings.status_path:
            return _UNKNOWN
        path = settings.status_path.replace(_ACTION_PLACEHOLDER, quote(action, safe=""))
        return await self._query_any(_endpoints(configuration, service), path)

    async def _query_any(
        self, endpoints: list[EndpointSettings], path: str
    ) -> StatusAnswer:
        failure: EelgrassError | None = None
        for endpoint in endpoints:
            request = PlainRequest(method="GET", path=path)
            try:
                answer = await self.services.send(
                    endpoint.url, request, _STATUS_TIMEOUT_SECONDS, lambda: None
                )
            except EelgrassError as error:
                failure = error
                continue
            return _parse_answer(answer)
        if failure is not None:
            raise failure
        return _UNKNOWN


def _endpoints(configuration: Configuration, service: str) -> list[EndpointSettings]:
    endpoints = configuration.endpoints.values()
    return [one for one in endpoints if one.service == service]


def _parse_answer(answer: PlainAnswer) -> StatusAnswer:
    if answer.status != _OK:
        return _UNKNOWN
    try:
        body = json.loads(answer.body)
    except ValueError:
        return _UNKNOWN
    if not isinstance(body, dict) or body.get("ran") is not True:
        return _UNKNOWN
    return StatusAnswer(
        result=ActionResult.DONE,
        status=answer.status,
        body=answer.body.decode(errors="replace"),
        content_type="application/json",
    )
