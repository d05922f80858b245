"""The refusals of turns because of their history."""

from eelgrasslock.exceptions import Ran, Refusal

UNKNOWN_RETRY_SECONDS = 0.2

NO_SUCH_TURN = "no_such_turn"
HISTORY_UNKNOWN = "history_unknown"
TURNS_NOT_STORED = "turns_not_stored"
CONVERSATION_TOO_LONG = "conversation_too_long"


def no_such_turn() -> Refusal:
    """Return the refusal of a turn whose parent certainly does not exist."""
    sentence = "There is no such previous turn, or it is kept no longer."
    return Refusal(NO_SUCH_TURN, sentence, 404)


def history_unknown(detail: str) -> Refusal:
    """Return the refusal of a turn whose parent may exist."""
    sentence = f"The history of this turn can't be read now: {detail}"
    return Refusal(HISTORY_UNKNOWN, sentence, 503, retry_after=UNKNOWN_RETRY_SECONDS)


def turns_not_stored(retry_after: float) -> Refusal:
    """Return the refusal of a turn while turns can't be stored at their end."""
    sentence = "Turns can't be stored now, so that none can end."
    return Refusal(TURNS_NOT_STORED, sentence, 503, retry_after=retry_after)


def turn_not_stored() -> Refusal:
    """Return the end of a turn that has run and could not be stored in time."""
    sentence = "The turn could not be stored before its time was over."
    return Refusal(TURNS_NOT_STORED, sentence, 504, Ran.YES)


def conversation_too_long(max_bytes: int) -> Refusal:
    """Return the refusal of a turn whose conversation is longer than the limit."""
    sentence = f"The conversation with this turn has more than {max_bytes} bytes."
    return Refusal(CONVERSATION_TOO_LONG, sentence, 413)
