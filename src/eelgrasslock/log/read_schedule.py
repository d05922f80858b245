"""When a follower reads, so that its state never gets older than a bound."""

from attrs import frozen

from eelgrasslock.log.keyed_log import ANSWER_SECONDS

# Shares of the bound. Two reads that wait, one pause, and two answers that are given
# up make 0.85 of it; the rest is for the event loop and the way to an endpoint.
_WAIT_SHARE = 0.125
_PAUSE_SHARE = 0.25
_ANSWER_SHARE = 0.175
_USE_SHARE = 0.875


@frozen(kw_only=True)
class ReadSchedule:
    """The times of the reads of a topic.

    Attributes
    ----------
    wait_seconds : float
        How long a read waits for a first record (long polling).
    pause_seconds : float
        Pause between two reads, in which records accumulate.
    answer_seconds : float
        How long an answer may take beyond the wait before the read is given up.
    max_age_seconds : float
        Up to which age the state may be used while the log answers.
    """

    wait_seconds: float
    pause_seconds: float
    answer_seconds: float = ANSWER_SECONDS
    max_age_seconds: float = float("inf")


def schedule_for_bound(bound_seconds: float) -> ReadSchedule:
    """Return the schedule of a state that must follow the log within a bound.

    A record that was written just after a read was answered, and whose own read
    gets no answer, is still applied within the bound by the read after that.

    Parameters
    ----------
    bound_seconds : float
        How long after the log acknowledged a record the state may lack it.
    """
    return ReadSchedule(
        wait_seconds=_WAIT_SHARE * bound_seconds,
        pause_seconds=_PAUSE_SHARE * bound_seconds,
        answer_seconds=_ANSWER_SHARE * bound_seconds,
        max_age_seconds=_USE_SHARE * bound_seconds,
    )
