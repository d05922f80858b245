"""The guard that lets a non-idempotent request run at most once."""

import asyncio
import contextlib
from collections.abc import Callable, Coroutine
from typing import Any

import xxhash
from loguru import logger

from eelgrasslock.actions.action_checks import (
    SendPermit,
    UnresolvedAction,
    already_done_refusal,
    check_same_request,
    is_unresolved,
    outcome_unknown_refusal,
)
from eelgrasslock.actions.action_records import (
    ActionIntended,
    ActionOutcome,
    ActionResult,
)
from eelgrasslock.actions.action_sweep import ActionSweep, StatusAnswer, StatusCall
from eelgrasslock.actions.action_table import ActionEntry, ActionTable
from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import LogError, LogUnavailable, Refusal
from eelgrasslock.log.log_availability import (
    LogAvailabilityCheck,
    Writer,
    append_until_stored,
    journal_unavailable_refusal,
)
from eelgrasslock.log.records import actions_stream
from eelgrasslock.programs.replication import done_within

MAX_RECORDED_BODY_BYTES = 16_384
_APPEND_TIMEOUT_SECONDS = 3.0
_OUTCOME_WAIT_SECONDS = 1.0
_STOP_TIMEOUT_SECONDS = 2.0
_STALE_INTENT_SECONDS = 30.0
_NOT_FOUND = 404
_CONFLICT = 409

log = logger.bind(part="actions")


class ActionGuard:
    """Guards non-idempotent requests.

    Parameters
    ----------
    incarnation : str
        The daemon's own.
    writer, tail : LogWriter, LogTail
        The log.
    clock : Clock
        The source of time.
    shards : int
        How many streams hold actions; the same at all daemons.
    status_call : callable or None
        Asks a service what became of an action.
    is_live : callable or None
        Tells whether an incarnation may still send what it intended.
    """

    def __init__(
        self,
        incarnation: str,
        writer: Writer,
        tail: Any,
        clock: Clock,
        shards: int,
        status_call: StatusCall | None = None,
        is_live: Callable[[str], bool] | None = None,
    ) -> None:
        self.incarnation = incarnation
        self.writer = writer
        self.tail = tail
        self.clock = clock
        self.is_live = is_live
        self.gate = LogAvailabilityCheck(writer)
        self.tables = [ActionTable() for _ in range(shards)]
        self.sweep = ActionSweep(self, status_call)
        self._unrecorded: dict[str, ActionOutcome] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._sweeper: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Follow the streams and start the periodic work."""
        for shard, table in enumerate(self.tables):
            self.tail.follow(actions_stream(shard), table.apply)
        self._sweeper = asyncio.create_task(self.sweep.run())

    async def stop(self) -> None:
        """Wait a little for outcomes on their way to the log, and stop."""
        if self._sweeper is not None:
            self._sweeper.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._sweeper
            self._sweeper = None
        waiting = asyncio.gather(*self._tasks, return_exceptions=True)
        await done_within(self.clock, waiting, _STOP_TIMEOUT_SECONDS)
        while self._tasks:
            tasks = list(self._tasks)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def find(self, service: str, action: str) -> ActionEntry | None:
        """Return what is known of an action."""
        return self._table(service, action).find(service, action)

    async def first_intent(
        self, service: str, action: str, request_digest: str, program: str
    ) -> ActionEntry:
        """Return the first intent for an action, writing one if there is none.

        Raises
        ------
        Refusal
            If the log is down, or the action has another request.
        """
        record = self._new_intent(service, action, request_digest, program)
        try:
            entry = await self._find_or_append(record)
        except LogError as error:
            raise journal_unavailable_refusal() from error
        check_same_request(entry, record)
        return entry

    async def acquire_permit(
        self, service: str, action: str, request_digest: str, program: str
    ) -> SendPermit | ActionOutcome:
        """Return the right to send a request, or its outcome known already.

        Raises
        ------
        Refusal
            If it must not be sent now; `ran` says what is known.
        """
        record = self._new_intent(service, action, request_digest, program)
        try:
            entry = await self._find_or_append(record)
        except LogUnavailable as error:
            raise journal_unavailable_refusal() from error
        except LogError as error:
            self._release(record)
            raise journal_unavailable_refusal() from error
        except asyncio.CancelledError:
            self._release(record)
            raise
        if entry.intent.id == record.id:
            return SendPermit(record=record)
        check_same_request(entry, record)
        return self._known_outcome(entry)

    async def record_outcome(
        self,
        intent: SendPermit,
        result: ActionResult,
        status: int = 0,
        body: str = "",
        content_type: str = "",
    ) -> None:
        """Record what became of a request; a slow log is not waited for.

        A status of 0 stands for an answer that is unknown or too long to keep.
        """
        outcome = self._new_outcome(intent.record, result, status, body, content_type)
        self._unrecorded[intent.record.id] = outcome
        task = self.run_in_background(self._append_outcome(outcome))
        if self.writer.available:
            await done_within(self.clock, task, _OUTCOME_WAIT_SECONDS)

    def record_done(self, intent: ActionIntended, body: str) -> None:
        """Record an outcome of the system's own making, without waiting."""
        outcome = self._new_outcome(intent, ActionResult.DONE, 200, body, "")
        self.run_in_background(self._append_outcome(outcome))

    def record_answer(self, intent: ActionIntended, answer: StatusAnswer) -> None:
        """Record a service's own word on an action, without waiting."""
        outcome = self._new_outcome(
            intent, answer.result, answer.status, answer.body, answer.content_type
        )
        self.run_in_background(self._append_outcome(outcome))

    def unresolved(self) -> list[UnresolvedAction]:
        """Return the actions whose outcome nobody knows, the oldest first."""
        stale_before = self.clock.now() - _STALE_INTENT_SECONDS
        found = [
            UnresolvedAction(
                service=entry.intent.service,
                action=entry.intent.action,
                program=entry.intent.program,
                author=entry.intent.author,
                time=entry.intent.time,
            )
            for table in self.tables
            for entry in table.entries.values()
            if is_unresolved(entry, stale_before) or self._is_orphaned(entry)
        ]
        return sorted(found, key=lambda action: action.time)

    def _is_orphaned(self, entry: ActionEntry) -> bool:
        """Tell whether the daemon that was to send it is gone, and told nothing."""
        if entry.outcome is not None or self.is_live is None:
            return False
        return not self.is_live(entry.intent.author)

    async def resolve(
        self, service: str, action: str, result: ActionResult, operator: str
    ) -> None:
        """Record what an operator found out about an action.

        Raises
        ------
        Refusal
            If it is unknown or settled, may still be sent, or the log is down.
        """
        entry = self.find(service, action)
        if entry is None:
            raise Refusal("unknown_action", "No such action.", _NOT_FOUND)
        if entry.settled:
            raise Refusal("action_settled", "The action is settled.", _CONFLICT)
        if result is ActionResult.NOT_RUN and self._may_still_run(entry):
            raise outcome_unknown_refusal()
        self.gate.check()
        outcome = self._new_outcome(entry.intent, result, 0, "", "", operator)
        try:
            await self._append(outcome, _APPEND_TIMEOUT_SECONDS)
        except LogError as error:
            raise journal_unavailable_refusal() from error
        log.info("{} of {} was resolved by {}.", action, service, operator)

    def _may_still_run(self, entry: ActionEntry) -> bool:
        if entry.outcome is not None:
            return False
        return self.is_live is not None and self.is_live(entry.intent.author)

    def _table(self, service: str, action: str) -> ActionTable:
        return self.tables[self._shard(service, action)]

    def _shard(self, service: str, action: str) -> int:
        """Choose a stream by service and action alone, so that repeats meet."""
        return xxhash.xxh64_intdigest(f"{service}\n{action}".encode()) % len(
            self.tables
        )

    def _stream(self, record: ActionIntended | ActionOutcome) -> str:
        return actions_stream(self._shard(record.service, record.action))

    def _new_intent(
        self, service: str, action: str, request_digest: str, program: str
    ) -> ActionIntended:
        return ActionIntended(
            author=self.incarnation,
            time=self.clock.now(),
            service=service,
            action=action,
            request_digest=request_digest,
            program=program,
        )

    async def _find_or_append(self, record: ActionIntended) -> ActionEntry:
        entry = self.find(record.service, record.action)
        if entry is not None:
            return entry
        self.gate.check()
        await self._append(record, _APPEND_TIMEOUT_SECONDS)
        entry = self.find(record.service, record.action)
        if entry is None:
            raise journal_unavailable_refusal()
        return entry

    async def _append(
        self, record: ActionIntended | ActionOutcome, timeout: float
    ) -> None:
        """Append a record and read up to it."""
        stream = self._stream(record)
        offset = await self.writer.append(stream, record, timeout)
        try:
            await self.tail.wait_for_offset(stream, offset, timeout)
        except LogUnavailable as error:
            raise LogError("The record was not read back.") from error

    async def _append_outcome(self, outcome: ActionOutcome) -> None:
        stream = self._stream(outcome)
        try:
            offset = await append_until_stored(self.writer, self.clock, stream, outcome)
            await self.tail.wait_for_offset(stream, offset)
        finally:
            self._unrecorded.pop(outcome.intent, None)

    def _release(self, record: ActionIntended) -> None:
        """Free an intent that surely was not sent and may be in the log."""
        outcome = self._new_outcome(record, ActionResult.NOT_RUN, 0, "", "")
        self.run_in_background(self._append_outcome(outcome))

    def _known_outcome(self, entry: ActionEntry) -> ActionOutcome:
        outcome = self._unrecorded.get(entry.intent.id) or entry.outcome
        if outcome is not None and outcome.result is ActionResult.NOT_RUN:
            raise journal_unavailable_refusal()
        if outcome is None or outcome.result is not ActionResult.DONE:
            raise outcome_unknown_refusal()
        if not outcome.status:
            raise already_done_refusal()
        return outcome

    def _new_outcome(
        self,
        intent: ActionIntended,
        result: ActionResult,
        status: int,
        body: str,
        content_type: str,
        author: str = "",
    ) -> ActionOutcome:
        return ActionOutcome(
            author=author or self.incarnation,
            time=self.clock.now(),
            service=intent.service,
            action=intent.action,
            intent=intent.id,
            result=result,
            status=status,
            body=body,
            content_type=content_type,
        )

    def run_in_background(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run work that outlives the call that started it."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._done)
        return task

    def _done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.info("An action's work ended early: {!r}", task.exception())
