"""What the gateway needs of the platform that it runs on."""

from typing import Protocol

from attrs import frozen

from eelgrasslock.gateway.endpoint_registry import EndpointRecord
from eelgrasslock.gateway.messages import EndpointResponse, GatewayRequest
from eelgrasslock.gateway.routes import RoutingConfiguration
from eelgrasslock.http.messages import Header, OutgoingRequest, ResponseHead


class MessageCodec(Protocol):
    """Translates requests and answers between the wire and our types."""

    ready_path: str

    def decode_request(
        self,
        method: str,
        target: str,
        headers: list[Header],
        body: bytes,
        received_at: float,
    ) -> GatewayRequest:
        """Return a caller's request.

        Raises
        ------
        Refusal
            If a header that we need can't be read.
        """

    def encode_request(
        self, request: GatewayRequest, endpoint: str, seconds: float
    ) -> OutgoingRequest:
        """Return the request for one endpoint, with the time that is left."""

    def decode_response(self, head: ResponseHead) -> EndpointResponse:
        """Return the head of an endpoint's answer."""

    def refusal_headers(self, request_id: str) -> list[Header]:
        """Return the headers that an answer of our own carries."""


@frozen(kw_only=True)
class Topics:
    """The topics that the platform writes, and how to read their records."""

    endpoints: str
    configuration: str


class RecordDecoder(Protocol):
    """Reads the platform's own records."""

    topics: Topics

    def decode_endpoint(self, key: str, value: bytes) -> EndpointRecord:
        """Return an endpoint's entry.

        Raises
        ------
        RecordError
            If it names no endpoint that can be used.
        """

    def decode_configuration(
        self, key: str, value: bytes
    ) -> RoutingConfiguration | None:
        """Return a configuration, None for a record of something else.

        Raises
        ------
        RecordError
            If it can't be read.
        """
