"""Periodic work on actions: retention, forgetting, and services' own word."""

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import xxhash
from attrs import evolve, frozen
from loguru import logger

from eelgrasslock.actions.action_records import (
    ActionIntended,
    ActionOutcome,
    ActionResult,
)
from eelgrasslock.actions.action_table import ActionEntry, ActionTable
from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import EelgrassError
from eelgrasslock.log.log_availability import Writer
from eelgrasslock.log.records import actions_stream, new_id
from eelgrasslock.periodic import run_periodically

ACTION_RETENTION_SECONDS = 604_800.0
REWRITE_INTERVAL_SECONDS = 1_800.0
NOT_RUN_GRACE_SECONDS = 60.0
_INTERVAL_SPREAD_RATIO = 0.3
_SWEEP_SECONDS = 10.0
_MAX_REWRITES_PER_SWEEP = 200
_MAX_STATUS_CALLS_PER_SWEEP = 10

log = logger.bind(part="actions")


@frozen(kw_only=True)
class StatusAnswer:
    """A service's own word on an action.

    Attributes
    ----------
    result : ActionResult
        `UNKNOWN` if the service can't tell.
    status : int
        The HTTP status that the action had.
    body, content_type : str
        The answer that it had.
    """

    result: ActionResult
    status: int = 200
    body: str = ""
    content_type: str = ""


StatusCall = Callable[[str, str], Awaitable[StatusAnswer]]


class SweepTarget(Protocol):
    """The part of the guard that the sweep works on."""

    incarnation: str
    clock: Clock
    writer: Writer
    tables: list[ActionTable]

    def unresolved(self) -> list[Any]:
        """Return the actions whose outcome nobody knows."""

    def find(self, service: str, action: str) -> ActionEntry | None:
        """Return what is known of an action."""

    def record_answer(self, intent: ActionIntended, answer: StatusAnswer) -> None:
        """Record a service's own word on an action."""


class ActionSweep:
    """Keeps the table of actions right as time goes by.

    Parameters
    ----------
    actions : SweepTarget
        The guard that it works for.
    status_call : callable or None
        Asks a service what became of an action.
    """

    def __init__(self, actions: SweepTarget, status_call: StatusCall | None) -> None:
        self.actions = actions
        self.status_call = status_call

    async def run(self) -> None:
        """Do all periodic work until cancelled."""
        clock = self.actions.clock
        await run_periodically(clock, lambda: _SWEEP_SECONDS, self.sweep)

    async def sweep(self) -> None:
        """Do all periodic work once."""
        self.drop_expired()
        if self.actions.writer.available:
            await self.rewrite_due()
            await self.query_services()

    def drop_expired(self) -> None:
        """Drop settled actions older than the window that is remembered."""
        floor = self.actions.clock.now() - ACTION_RETENTION_SECONDS
        for table in self.actions.tables:
            table.drop_settled_before(floor)

    async def rewrite_due(self) -> None:
        """Write actions again that the log's retention would soon drop."""
        for shard, table in enumerate(self.actions.tables):
            due = [entry for entry in table.entries.values() if self._is_due(entry)]
            for entry in due[:_MAX_REWRITES_PER_SWEEP]:
                await self._rewrite(actions_stream(shard), entry)

    async def query_services(self) -> None:
        """Settle unknown actions by the services' own status calls."""
        if self.status_call is None:
            return
        for unresolved in self.actions.unresolved()[:_MAX_STATUS_CALLS_PER_SWEEP]:
            entry = self.actions.find(unresolved.service, unresolved.action)
            if entry is not None:
                await self._query_service(entry, self.status_call)

    def _is_due(self, entry: ActionEntry) -> bool:
        """Tell whether to repeat an entry; the daemons differ, one goes first."""
        name = self.actions.incarnation + entry.intent.id
        share = xxhash.xxh32_intdigest(name.encode()) / 2**32
        age = self.actions.clock.now() - entry.written_at
        return age >= REWRITE_INTERVAL_SECONDS * (1 - _INTERVAL_SPREAD_RATIO * share)

    async def _rewrite(self, stream: str, entry: ActionEntry) -> None:
        now = self.actions.clock.now()
        intent = evolve(
            entry.intent, id=new_id(), repeats=entry.intent.id, repeated=now
        )
        entry.written_at = now
        batch: list[ActionIntended | ActionOutcome] = [intent]
        if entry.outcome is not None:
            batch.append(evolve(entry.outcome, id=new_id()))
        for record in batch:
            await self.actions.writer.append(stream, record)

    async def _query_service(self, entry: ActionEntry, status_call: StatusCall) -> None:
        intent = entry.intent
        try:
            answer = await status_call(intent.service, intent.action)
        except EelgrassError as error:
            log.info("{} tells nothing of {}: {}", intent.service, intent.action, error)
            return
        if self._is_conclusive(entry, answer):
            self.actions.record_answer(intent, answer)

    def _is_conclusive(self, entry: ActionEntry, answer: StatusAnswer) -> bool:
        """Believe "done" always, "not run" only once nothing can be under way."""
        if answer.result is not ActionResult.NOT_RUN:
            return answer.result is ActionResult.DONE
        if entry.outcome is None:
            return False
        age = self.actions.clock.now() - entry.outcome.time
        return age >= NOT_RUN_GRACE_SECONDS
