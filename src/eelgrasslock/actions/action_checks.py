"""The words that the guard of non-idempotent requests shares with its callers."""

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
    """The right to send one request once.

    Attributes
    ----------
    record : ActionIntended
        The intent, read back as the first for its action.
    """

    record: ActionIntended


@frozen(kw_only=True)
class UnresolvedAction:
    """An action of which nobody knows whether it ran.

    Attributes
    ----------
    service, action, program : str
        What was to run, and on whose behalf.
    author : str
        The incarnation that was to send it.
    time : float
        When, in seconds since the epoch.
    """

    service: str
    action: str
    program: str
    author: str
    time: float


def is_unresolved(entry: ActionEntry, stale_before: float) -> bool:
    """Return whether nobody knows what became of an action begun before a time."""
    if entry.settled:
        return False
    return entry.outcome is not None or entry.intent.time < stale_before


def check_same_request(entry: ActionEntry, record: ActionIntended) -> None:
    """Raise a `Refusal` if an action id stands for another request."""
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
    """Return the final answer where the action's answer is not kept."""
    return Refusal(
        "action_done",
        "This action has run before; its answer is not kept.",
        _CONFLICT,
        Ran.YES,
    )


def outcome_unknown_refusal() -> Refusal:
    """Return the final answer to an action that was begun by someone."""
    return Refusal(
        "outcome_unknown",
        "This action was begun and its outcome is not known.",
        _CONFLICT,
        Ran.UNKNOWN,
        _OUTCOME_RETRY_SECONDS,
    )
