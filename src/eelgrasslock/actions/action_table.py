"""The fold of one actions stream: which intent may run, and what became of it."""

from attrs import define, evolve

from eelgrasslock.actions.action_records import (
    ActionIntended,
    ActionOutcome,
    ActionResult,
)
from eelgrasslock.log.records import PositionedRecord


@define(kw_only=True)
class ActionEntry:
    """The intent that may run for an action, and its outcome.

    Attributes
    ----------
    intent : ActionIntended
        The first one in the stream, or the first after it was freed.
    outcome : ActionOutcome or None
        What became of it.
    written_at : float
        When the intent was last written, in seconds since the epoch.
    """

    intent: ActionIntended
    outcome: ActionOutcome | None = None
    written_at: float

    @property
    def settled(self) -> bool:
        """Whether it is known what became of the action."""
        if self.outcome is None:
            return False
        return self.outcome.result is not ActionResult.UNKNOWN


class ActionTable:
    """The actions of one stream.

    Attributes
    ----------
    entries : dict of tuple to ActionEntry
        By service and action id.
    """

    def __init__(self) -> None:
        self.entries: dict[tuple[str, str], ActionEntry] = {}

    def apply(self, positioned: PositionedRecord) -> None:
        """Fold the next record."""
        record = positioned.record
        if isinstance(record, ActionIntended):
            self._apply_intent(record)
        elif isinstance(record, ActionOutcome):
            self._apply_outcome(record)

    def find(self, service: str, action: str) -> ActionEntry | None:
        """Return what is known of an action."""
        return self.entries.get((service, action))

    def drop_settled_before(self, time: float) -> None:
        """Drop settled actions whose intent was made before a time."""
        old = [
            key
            for key, entry in self.entries.items()
            if entry.settled and entry.intent.time < time
        ]
        for key in old:
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
