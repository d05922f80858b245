"""The intents and outcomes of actions, built from one log stream."""

from attrs import define, evolve

from eelgrasslock.actions.action_records import (
    ActionIntended,
    ActionOutcome,
    ActionResult,
)
from eelgrasslock.log.records import PositionedRecord


@define(kw_only=True)
class ActionEntry:
    """The intent that permits to send an action's request, and its outcome.

    Attributes
    ----------
    intent : ActionIntended
        The first intent in the stream, or the first one since the action was
        released.
    outcome : ActionOutcome or None
        The outcome, None until one is recorded.
    written_at : float
        Time of the intent's latest write or rewrite, in seconds since the
        epoch.
    """

    intent: ActionIntended
    outcome: ActionOutcome | None = None
    written_at: float

    @property
    def settled(self) -> bool:
        """Whether the outcome is known."""
        if self.outcome is None:
            return False
        return self.outcome.result is not ActionResult.UNKNOWN


class ActionTable:
    """The actions of one stream.

    Attributes
    ----------
    entries : dict of tuple to ActionEntry
        Entries by service and action id.
    """

    def __init__(self) -> None:
        self.entries: dict[tuple[str, str], ActionEntry] = {}

    def apply(self, positioned_record: PositionedRecord) -> None:
        """Apply the next record."""
        record = positioned_record.record
        if isinstance(record, ActionIntended):
            self._apply_intent(record)
        elif isinstance(record, ActionOutcome):
            self._apply_outcome(record)

    def find(self, service: str, action: str) -> ActionEntry | None:
        """Return an action's entry, None if there is none."""
        return self.entries.get((service, action))

    def drop_settled_before(self, time: float) -> None:
        """Drop settled actions with an intent before a time (epoch seconds)."""
        expired = [
            key
            for key, entry in self.entries.items()
            if entry.settled and entry.intent.time < time
        ]
        for key in expired:
            del self.entries[key]

    def _apply_intent(self, record: ActionIntended) -> None:
        key = (record.service, record.action)
        entry = self.entries.get(key)
        if entry is not None:
            if record.repeats == entry.intent.id:
                entry.written_at = max(entry.written_at, record.repeated)
            return
        written_at = max(record.time, record.repeated)
        intent = record
        if record.repeats:
            intent = evolve(record, id=record.repeats, repeats="", repeated=0.0)
        self.entries[key] = ActionEntry(intent=intent, written_at=written_at)

    def _apply_outcome(self, record: ActionOutcome) -> None:
        key = (record.service, record.action)
        entry = self.entries.get(key)
        if entry is None or entry.intent.id != record.intent or entry.settled:
            return
        if record.result is ActionResult.NOT_RUN:
            del self.entries[key]
            return
        entry.outcome = record
