"""The story of a request or a program, from the lines that daemons logged."""

import json
from collections.abc import Iterable
from typing import Any

from attrs import field, frozen

REQUEST_FIELDS = ("request", "program")
_HEAD_FIELDS = frozenset(
    {"time", "level", "part", "daemon", "message", "request", "program"}
)

CAUSES = {
    "budget_spent": "The program's budget holds no further turn.",
    "budget_unknown": "No daemon in reach had the log, and the program's share for "
    "such times was used up or could not be decided.",
    "no_configuration": "The daemon had just started and knew no configuration.",
    "no_route": "The configuration in force has no route for its host and path.",
    "overloaded": "More calls waited than would be served in time.",
    "queue_full": "Too many calls waited at the daemon.",
    "engines_crowded": "The engines had too many calls for another new program.",
    "deadline_out_of_reach": "It would have ended after its deadline.",
    "deadline_passed": "Its deadline passed before an endpoint was free.",
    "no_endpoint": "No endpoint took it: they were full, leaving or out of reach.",
    "answer_lost": "The endpoint's answer was lost after it had been sent there.",
    "too_late": "Its time was over before the endpoint's answer was whole.",
    "daemon_leaving": "The daemon was about to end after SIGTERM.",
    "no_such_turn": "The turn that it continues from does not exist, or is kept no "
    "longer: the log was read to its end.",
    "history_unknown": "The turns before it could not be read, from the log or from "
    "another daemon.",
    "turns_not_stored": "The log took no turns: it was refused, or its end was held "
    "back until its time was over.",
    "conversation_too_long": "The conversation has more bytes than a body may have.",
    "quarantined": "It had crashed the endpoints that ran it.",
    "broken_off": "The endpoint broke its answer off.",
    "caller_left": "The caller closed its connection first.",
    "answered": "An endpoint answered it.",
}


@frozen(kw_only=True)
class StoryLine:
    """One line of a daemon's log.

    Attributes
    ----------
    time, daemon, part, message : str
        When, where and what.
    request, program : str
        What it is about, each may be empty.
    inputs : dict of str to object
        The other fields: what the decision rested on.
    """

    time: str
    daemon: str
    part: str
    message: str
    request: str = ""
    program: str = ""
    inputs: dict[str, Any] = field(factory=dict)

    @property
    def reason(self) -> str:
        """The reason of an outcome, empty for other lines."""
        return str(self.inputs.get("reason", ""))


@frozen(kw_only=True)
class Story:
    """What several daemons tell of one id.

    Attributes
    ----------
    id : str
        A request's or a program's.
    lines : list of StoryLine
        In the order of their times.
    unreadable : int
        Lines of the files that are no log lines.
    """

    id: str
    lines: list[StoryLine]
    unreadable: int = 0

    @property
    def last_outcome(self) -> StoryLine | None:
        """The last line that says what became of a request."""
        outcomes = [line for line in self.lines if "outcome" in line.inputs]
        return outcomes[-1] if outcomes else None

    @property
    def cause(self) -> str:
        """One sentence on why it ended as it did."""
        last = self.last_outcome
        if last is None:
            return "No line tells how it ended: its daemon may have died with it."
        return CAUSES.get(last.reason, last.message)


def parse_line(text: str) -> StoryLine | None:
    """Return a log line, with or without a prefix; None if it is none."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        values = json.loads(text[start:])
    except ValueError:
        return None
    if not isinstance(values, dict) or "message" not in values:
        return None
    inputs = {key: one for key, one in values.items() if key not in _HEAD_FIELDS}
    return StoryLine(
        time=str(values.get("time", "")),
        daemon=str(values.get("daemon", "")),
        part=str(values.get("part", "")),
        message=str(values["message"]),
        request=str(values.get("request") or ""),
        program=str(values.get("program") or ""),
        inputs=inputs,
    )


def tell_story(id: str, texts: Iterable[str]) -> Story:
    """Return what log lines tell of a request or a program."""
    lines = []
    unreadable = 0
    for text in texts:
        line = parse_line(text)
        if line is None:
            unreadable += bool(text.strip())
        elif id in (line.request, line.program):
            lines.append(line)
    lines.sort(key=lambda line: line.time)
    return Story(id=id, lines=lines, unreadable=unreadable)
