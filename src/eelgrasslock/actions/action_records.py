"""Log records of non-idempotent actions."""

import enum

from attrs import frozen

from eelgrasslock.log.records import Record


@frozen(kw_only=True)
class ActionIntended(Record):
    """Intent of a daemon to send a non-idempotent request.

    Only the first intent for a service and action id in log order permits to
    send the request, and only after its author has read it back as the first.

    Attributes
    ----------
    service, action : str
        The plain service and the caller's action id.
    request_digest : str
        Digest of method, path and body.
    program : str
        The program that makes the request, or empty.
    repeats : str
        The id of the intent that this record rewrites to outlive the log's
        retention, or empty.
    repeated : float
        Time of the rewrite, in seconds since the epoch.
    """

    service: str
    action: str
    request_digest: str
    program: str
    repeats: str = ""
    repeated: float = 0.0


class ActionResult(enum.Enum):
    """Result of an intended action."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@frozen(kw_only=True)
class ActionOutcome(Record):
    """Outcome of an intended action.

    Attributes
    ----------
    service, action : str
        The plain service and the action id, as in the intent.
    intent : str
        The record id of the intent.
    result : ActionResult
        The result. ``NOT_RUN`` releases the action for a new intent.
    status : int
        The service's HTTP status, 0 if there was none.
    body : str
        The service's answer, empty if it was too long to keep.
    content_type : str
        The answer's media type.
    """

    service: str
    action: str
    intent: str
    result: ActionResult
    status: int = 0
    body: str = ""
    content_type: str = ""
