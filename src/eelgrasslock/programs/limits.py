"""The limits that end a program, each with a clear reason."""

import enum

from eelgrasslock.exceptions import Ran, Refusal
from eelgrasslock.programs.program import Program

IDLE_LIMIT_SECONDS = 21_600.0


class EndReason(enum.Enum):
    """Why a program ended."""

    FINISHED = "finished"
    CANCELLED = "cancelled"
    TURN_LIMIT = "turn_limit"
    TOKEN_LIMIT = "token_limit"
    MONEY_LIMIT = "money_limit"
    AGE_LIMIT = "age_limit"
    IDLE_LIMIT = "idle_limit"
    PARENT_ENDED = "parent_ended"
    OPERATOR = "operator"


_SENTENCES = {
    EndReason.FINISHED: "The program has finished.",
    EndReason.CANCELLED: "The program was cancelled.",
    EndReason.TURN_LIMIT: "The program has reached its limit of turns.",
    EndReason.TOKEN_LIMIT: "The program has used up its tokens.",
    EndReason.MONEY_LIMIT: "The program has used up its money.",
    EndReason.AGE_LIMIT: "The program has reached its greatest age.",
    EndReason.IDLE_LIMIT: "The program made no call for too long.",
    EndReason.PARENT_ENDED: "The program's parent has ended.",
    EndReason.OPERATOR: "An operator ended the program.",
}
_GONE = 410


def reached_limit(program: Program, now: float) -> EndReason | None:
    """Return the limit that a program has reached, if any.

    Parameters
    ----------
    program : Program
        A live program.
    now : float
        The wall-clock time, in seconds since the epoch.
    """
    if program.turn >= program.limits.turns:
        return EndReason.TURN_LIMIT
    return expired_limit(program, now)


def expired_limit(program: Program, now: float) -> EndReason | None:
    """Return the limit of time that a program has passed, if any."""
    if now - program.created > program.limits.age:
        return EndReason.AGE_LIMIT
    if now - program.active > IDLE_LIMIT_SECONDS:
        return EndReason.IDLE_LIMIT
    return None


def program_ended_refusal(reason: str, ran: Ran = Ran.NO) -> Refusal:
    """Return the final answer to a call of a program that has ended."""
    try:
        sentence = _SENTENCES[EndReason(reason)]
    except ValueError:
        sentence = "The program has ended."
    return Refusal("program_ended", f"{sentence} ({reason})", _GONE, ran)
