"""Creating programs, with idempotent creation keys and sub-agents."""

import hashlib
import json
import secrets

from attrs import field, frozen

from eelgrasslock.actions.action_checks import CREATION_SERVICE
from eelgrasslock.actions.action_guard import ActionGuard
from eelgrasslock.actions.action_records import ActionIntended
from eelgrasslock.exceptions import Refusal
from eelgrasslock.log.log_availability import journal_unavailable_refusal
from eelgrasslock.log.record_codec import from_jsonable, to_jsonable
from eelgrasslock.log.records import journal_stream
from eelgrasslock.programs.budgets import initial_draw
from eelgrasslock.programs.history import empty_history_digest
from eelgrasslock.programs.journal_records import (
    ProgramCreated,
    ProgramEnded,
    ProgramLimits,
)
from eelgrasslock.programs.ledger import Amount
from eelgrasslock.programs.limits import EndReason, program_ended_refusal
from eelgrasslock.programs.local_programs import LocalPrograms
from eelgrasslock.programs.program import Program
from eelgrasslock.programs.program_ids import new_program_id, parse_program_id
from eelgrasslock.programs.replication import done_within
from eelgrasslock.programs.takeover import Takeover

_SECRET_BYTES = 32
_CHILD_BUDGET_FRACTION = 1 / 4
_CREATE_TIMEOUT_SECONDS = 5.0
_BAD_REQUEST = 400
_CONFLICT = 409


@frozen(kw_only=True)
class CreatedProgram:
    """A program that was just created, or created before with the same key.

    Attributes
    ----------
    program : str
        Its id.
    secret : str
        What its caller must show.
    limits : ProgramLimits
        What it may use.
    journaled : bool
        Whether the log holds it; if not, it is lost with this daemon and the
        peers that hold a copy.
    turn : int
        The next turn's number, as far as this daemon knows.
    digest : str
        Digest of the history to build on, as far as this daemon knows.
    """

    program: str
    secret: str
    limits: ProgramLimits
    journaled: bool = True
    turn: int = 0
    digest: str = field()

    @digest.default
    def _default_digest(self) -> str:
        return empty_history_digest(self.program)


class ProgramCreator:
    """Creates programs.

    Parameters
    ----------
    domain : str
        The daemon's own failure domain.
    programs : LocalPrograms
        The programs.
    takeover : Takeover
        Holds parents.
    actions : ActionGuard or None
        Arbitrates creation keys.
    """

    def __init__(
        self,
        domain: str,
        programs: LocalPrograms,
        takeover: Takeover,
        actions: ActionGuard | None,
    ) -> None:
        self.domain = domain
        self.programs = programs
        self.takeover = takeover
        self.actions = actions

    async def create(
        self,
        creation_key: str,
        secret: str,
        limits: ProgramLimits | None,
        parent: str,
        max_limits: ProgramLimits,
    ) -> CreatedProgram:
        """Create a program within the bounds of the settings."""
        if creation_key and not secret:
            raise Refusal(
                "secret_missing",
                "A creation key needs a secret of the caller's own.",
                _BAD_REQUEST,
            )
        granted = await self._grant_limits(limits, parent, max_limits)
        secret = secret or secrets.token_urlsafe(_SECRET_BYTES)
        record = self._record(creation_key, secret, granted, parent)
        if creation_key:
            return await self._create_idempotently(record, secret, limits)
        journaled = await self._write(record)
        return CreatedProgram(
            program=record.program,
            secret=secret,
            limits=granted,
            journaled=journaled,
        )

    async def _grant_limits(
        self, limits: ProgramLimits | None, parent: str, max_limits: ProgramLimits
    ) -> ProgramLimits:
        if limits is not None:
            _check_limits(limits, max_limits)
        if not parent:
            return limits or max_limits
        await self.takeover.acquire(parent)
        state = await self.takeover.find(parent)
        if state.ended:
            raise program_ended_refusal(state.ended)
        return limits or _child_limits(state)

    def _record(
        self, creation_key: str, secret: str, limits: ProgramLimits, parent: str
    ) -> ProgramCreated:
        draw = initial_draw(Amount(limits.tokens, limits.money))
        return ProgramCreated(
            author=self.programs.incarnation,
            time=self.programs.clock.now(),
            program=new_program_id(self.domain, self.programs.incarnation),
            creation_key=creation_key,
            secret_digest=hashlib.sha256(secret.encode()).hexdigest(),
            parent=parent,
            limits=limits,
            drawn_tokens=draw.tokens,
            drawn_money=draw.money,
        )

    async def _write(self, record: ProgramCreated) -> bool:
        if record.parent:
            await self._write_child(record)
            return True
        local_program = self.programs.local_program(record.program)
        self.programs.check_backlog(local_program)
        return await self.programs.append_record(local_program, record)

    async def _write_child(self, record: ProgramCreated) -> None:
        """Create a child only by a record that was read back.

        Its budget comes out of its parent's, which other records may change.
        """
        self.programs.gate.check()
        local_program = self.programs.local_program(record.program)
        task = self.programs.enqueue(local_program, record)
        if not await done_within(self.programs.clock, task, _CREATE_TIMEOUT_SECONDS):
            self._cancel_creation(record)
            raise journal_unavailable_refusal()
        apply_result = task.result()
        if not apply_result.applied:
            raise Refusal(
                "parent_budget",
                "The parent's budget has no room for this sub-agent.",
                _CONFLICT,
            )

    def _cancel_creation(self, record: ProgramCreated) -> None:
        ended = ProgramEnded(
            author=self.programs.incarnation,
            time=self.programs.clock.now(),
            program=record.program,
            reason=EndReason.CANCELLED.value,
            returned_tokens=record.drawn_tokens,
            returned_money=record.drawn_money,
        )
        self.programs.enqueue(self.programs.local_program(record.program), ended)

    async def _create_idempotently(
        self, record: ProgramCreated, secret: str, asked: ProgramLimits | None
    ) -> CreatedProgram:
        """Create the program that the first intent with this key names."""
        if self.actions is None:
            raise journal_unavailable_refusal()
        digest = _creation_digest(record, asked)
        entry = await self.actions.first_intent(
            CREATION_SERVICE, record.creation_key, digest, record.program
        )
        if entry.outcome is not None:
            limits = from_jsonable(json.loads(entry.outcome.body), ProgramLimits)
        else:
            limits = await self._complete(entry.intent, record)
        return CreatedProgram(
            program=entry.intent.program, secret=secret, limits=limits
        )

    async def _complete(
        self, intent: ActionIntended, record: ProgramCreated
    ) -> ProgramLimits:
        if intent.program == record.program:
            await self._write(record)
        else:
            await self._write_on_behalf(intent, record)
        assert self.actions is not None
        body = json.dumps(to_jsonable(record.limits))
        self.actions.record_done(intent, body)
        return record.limits

    async def _write_on_behalf(
        self, intent: ActionIntended, record: ProgramCreated
    ) -> None:
        """Write the creation that another daemon may have left undone.

        If it did write it, this one is void and changes nothing.
        """
        domain = parse_program_id(intent.program).domain
        creation = ProgramCreated(
            author=self.programs.incarnation,
            time=self.programs.clock.now(),
            program=intent.program,
            creation_key=record.creation_key,
            secret_digest=record.secret_digest,
            parent=record.parent,
            limits=record.limits,
        )
        append = self.programs.writer.append(journal_stream(domain), creation)
        task = self.programs.run_in_background(append)
        if not await done_within(self.programs.clock, task, _CREATE_TIMEOUT_SECONDS):
            task.cancel()
            raise journal_unavailable_refusal()


def _creation_digest(record: ProgramCreated, asked: ProgramLimits | None) -> str:
    parts = [record.secret_digest, record.parent, to_jsonable(asked) if asked else None]
    return hashlib.sha256(json.dumps(parts).encode()).hexdigest()


def _check_limits(limits: ProgramLimits, max_limits: ProgramLimits) -> None:
    too_high = [
        name
        for name in ("tokens", "turns", "age", "money")
        if _exceeds(getattr(limits, name), getattr(max_limits, name), name)
    ]
    not_positive = min(limits.tokens, limits.turns, limits.age) <= 0
    if too_high or not_positive or limits.money < 0:
        names = ", ".join(too_high) or "tokens, turns and age must be above 0"
        raise Refusal(
            "limits_out_of_range", f"Limits out of range: {names}.", _BAD_REQUEST
        )


def _exceeds(value: float, bound: float, name: str) -> bool:
    if name == "money":
        return bound > 0 and (value == 0 or value > bound)
    return value > bound


def _child_limits(parent: Program) -> ProgramLimits:
    remaining = parent.ledger.remaining
    money = remaining.money * _CHILD_BUDGET_FRACTION if parent.limits.money else 0.0
    return ProgramLimits(
        tokens=max(1, int(remaining.tokens * _CHILD_BUDGET_FRACTION)),
        turns=parent.limits.turns,
        age=parent.limits.age,
        money=money,
    )
