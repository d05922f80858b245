"""The interfaces through which the gateway uses its platform."""

from typing import Protocol

from attrs import frozen

from eelgrasslock.exchanges.messages import EndpointResponse, GatewayRequest
from eelgrasslock.http.messages import Header, OutgoingRequest, ResponseHead
from eelgrasslock.registry.endpoint_registry import EndpointRecord
from eelgrasslock.routing.routes import RoutingConfiguration


class MessageCodec(Protocol):
    """Decodes and encodes the platform's HTTP messages.

    Attributes
    ----------
    ready_path : str
        The path of readiness probes.
    report_path : str
        Where engines tell their state without using a slot.
    """

    ready_path: str
    report_path: str

    def decode_request(
        self,
        method: str,
        target: str,
        headers: list[Header],
        body: bytes,
        received_at: float,
    ) -> GatewayRequest:
        """Return the decoded request of a caller.

        Raises
        ------
        Refusal
            If a required header is invalid.
        """

    def mark_workspace(self, request: GatewayRequest, name: str) -> GatewayRequest:
        """Return a request that names its workspace in place of its key."""

    def encode_probe(self, path: str, endpoint: str) -> OutgoingRequest:
        """Return a request that asks an endpoint whether it is healthy."""

    def encode_request(
        self, request: GatewayRequest, endpoint: str, seconds: float
    ) -> OutgoingRequest:
        """Return the request for an endpoint, with the remaining time in seconds."""

    def encode_resumption(
        self,
        request: GatewayRequest,
        endpoint: str,
        seconds: float,
        last_event_id: int,
    ) -> OutgoingRequest:
        """Return the request for the events after one that the caller has."""

    def is_answer_of(self, head: ResponseHead, endpoint: str) -> bool:
        """Return whether a probe was answered by the endpoint that it was sent to."""

    def decode_response(self, head: ResponseHead, request_id: str) -> EndpointResponse:
        """Return the decoded head of an endpoint's response to a request."""

    def refusal_headers(self, request_id: str) -> list[Header]:
        """Return the headers of a refusal by the gateway."""


@frozen(kw_only=True)
class Topics:
    """The topics of the platform's log with endpoints and configurations."""

    endpoints: str
    configuration: str


class RecordDecoder(Protocol):
    """Decodes the records that the platform writes to its log.

    Attributes
    ----------
    topics : Topics
        The topics of the records.
    """

    topics: Topics

    def decode_endpoint(self, key: str, value: bytes) -> EndpointRecord:
        """Return the registration of an endpoint.

        Raises
        ------
        RecordError
            If the record is no valid registration.
        """

    def decode_configuration(
        self, key: str, value: bytes
    ) -> RoutingConfiguration | None:
        """Return a configuration, None for a record of another kind.

        Raises
        ------
        RecordError
            If the record is no valid configuration.
        """


class FollowedView(Protocol):
    """A view of a topic as a daemon has read it, with its age."""

    def age(self) -> float:
        """Return how old the view may be, in seconds."""

    async def wait_until_current(self) -> None:
        """Wait until the view may be used: it is young enough, or the log is lost."""
