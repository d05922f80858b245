"""Types, checks and refusals of the guard of non-idempotent requests."""

from attrs import frozen

from eelgrasslock.actions.action_records import ActionIntended
from eelgrasslock.actions.action_table import ActionEntry
from eelgrasslock.exceptions import Ran, Refusal

CREATION_SERVICE = "programs"
_OUTCOME_RETRY_SECONDS = 10.0
_CONFLICT = 409
_UNPROCESSABLE = 422


@frozen(kw_only=True)
class SendPermit:
    """Permission to send one request once.

    Attributes
    ----------
    record : ActionIntended
        The intent, read back as the first one for its action.
    """

    record: ActionIntended


@frozen(kw_only=True)
class UnresolvedAction:
    """An action with an unknown outcome.

    Attributes
    ----------
    service, action, program : str
        The plain service, the action id, and the calling program or empty.
    author : str
        The incarnation that wrote the intent to send it.
    time : float
        Time of the intent, in seconds since the epoch.
    """

    service: str
    action: str
    program: str
    author: str
    time: float


def is_unresolved(entry: ActionEntry, stale_before: float) -> bool:
    """Return whether an action's outcome is unknown or overdue.

    It is overdue without a recorded outcome if the intent is older than
    `stale_before`, in seconds since the epoch.
    """
    if entry.settled:
        return False
    return entry.outcome is not None or entry.intent.time < stale_before


def check_same_request(entry: ActionEntry, record: ActionIntended) -> None:
    """Raise a `Refusal` if the action id was used for another request."""
    same = entry.intent.request_digest == record.request_digest
    if record.service != CREATION_SERVICE:
        same = same and entry.intent.program == record.program
    if not same:
        raise Refusal(
            "action_conflict",
            "This action id was used for another request.",
            _UNPROCESSABLE,
        )


def already_done_refusal() -> Refusal:
    """Return the refusal for an action that ran and whose answer is not kept."""
    return Refusal(
        "action_done",
        "This action has run before; its answer is not kept.",
        _CONFLICT,
        Ran.YES,
    )


def outcome_unknown_refusal() -> Refusal:
    """Return the refusal for an action with an intent and no known outcome."""
    return Refusal(
        "outcome_unknown",
        "This action was begun and its outcome is not known.",
        _CONFLICT,
        Ran.UNKNOWN,
        _OUTCOME_RETRY_SECONDS,
    )
