"""What the gateway needs of the platform that it runs on."""

from typing import Protocol

from attrs import frozen

from eelgrasslock.gateway.directory import EndpointRecord
from eelgrasslock.gateway.messages import EndpointAnswer, GatewayRequest
from eelgrasslock.gateway.routes import RoutingConfiguration
from eelgrasslock.http.messages import AnswerHead, Header, OutgoingRequest


class Dialect(Protocol):
    """Translates requests and answers between the wire and our types."""

    ready_path: str

    def decode_request(
        self,
        method: str,
        target: str,
        headers: list[Header],
        body: bytes,
        received: float,
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

    def decode_answer(self, head: AnswerHead) -> EndpointAnswer:
        """Return the head of an endpoint's answer."""

    def refusal_headers(self, request_id: str) -> list[Header]:
        """Return the headers that an answer of our own carries."""


@frozen(kw_only=True)
class KeyedRecord:
    """The newest record of a key.

    Attributes
    ----------
    key : str
        The key.
    value : bytes
        Empty if the key was dropped.
    """

    key: str
    value: bytes


@frozen(kw_only=True)
class KeyedSnapshot:
    """The newest record of each key of a topic.

    Attributes
    ----------
    records : tuple of KeyedRecord
        One a key.
    end : int
        From where to follow the topic.
    """

    records: tuple[KeyedRecord, ...]
    end: int


@frozen(kw_only=True)
class KeyedChanges:
    """Records that came after an offset, in order.

    Attributes
    ----------
    records : tuple of KeyedRecord
        Unreadable ones are left out.
    end : int
        From where to go on.
    """

    records: tuple[KeyedRecord, ...]
    end: int


class KeyedLog(Protocol):
    """Topics whose newest record of each key is kept for good."""

    async def snapshot(self, topic: str) -> KeyedSnapshot:
        """Return the newest record of each key.

        Raises
        ------
        LogUnavailable
            If the log gave no answer.
        """

    async def changes(
        self, topic: str, offset: int, wait_seconds: float
    ) -> KeyedChanges:
        """Return what came from an offset on, waiting for a first record.

        Raises
        ------
        LogUnavailable
            If the log gave no answer.
        RecordsExpired
            If records from this offset on were dropped.
        """


@frozen(kw_only=True)
class Topics:
    """The topics that the platform writes, and how to read their records."""

    endpoints: str
    configuration: str


class Records(Protocol):
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
