"""The result of one attempt to send a request to an endpoint."""

import enum

from attrs import frozen

from eelgrasslock.exchanges.messages import EndpointResponse


class AttemptOutcome(enum.Enum):
    """Outcome of one attempt.

    Attributes
    ----------
    SERVED
        The response was relayed to the caller.
    NOT_SENT
        The endpoint isn't registered, is leaving or accepted no connection, or it
        left or restarted while a connection was opened.
    NO_LINK
        The request was not sent: this daemon has lost its links to the endpoints.
    NOT_RUN
        The endpoint declined the request without running it.
    BROKEN
        The connection was lost before the response was complete.
    CRASHED
        As `BROKEN`, and the endpoint accepts no connections.
    SILENT
        No response came in time and the request may go to another endpoint.
    UNSOUND
        A success status with an unsigned or encoded response, or without the
        request's id.
    """

    SERVED = "served"
    NOT_SENT = "not_sent"
    NO_LINK = "no_link"
    NOT_RUN = "not_run"
    BROKEN = "broken"
    CRASHED = "crashed"
    SILENT = "silent"
    UNSOUND = "unsound"


@frozen(kw_only=True)
class AttemptResult:
    """Result of one attempt.

    Attributes
    ----------
    outcome : AttemptOutcome
        Outcome of the attempt.
    response : EndpointResponse or None
        The head of the endpoint's response, None if it sent none.
    """

    outcome: AttemptOutcome
    response: EndpointResponse | None = None
