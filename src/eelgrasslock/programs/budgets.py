"""Drawing on programs' budgets ahead of need, and settling what calls used."""

import asyncio

from attrs import frozen

from eelgrasslock.exceptions import LogError, Ran, Refusal
from eelgrasslock.log.log_availability import journal_unavailable_refusal
from eelgrasslock.programs.journal_records import BudgetDrawn, BudgetSettled
from eelgrasslock.programs.ledger import ZERO, Amount
from eelgrasslock.programs.limits import EndReason
from eelgrasslock.programs.local_programs import (
    LocalProgram,
    LocalPrograms,
    rejected_record_refusal,
)
from eelgrasslock.programs.program import Program
from eelgrasslock.programs.record_rules import ApplyResult
from eelgrasslock.programs.replication import done_within

DRAW_FRACTION = 1 / 16
_DRAW_WAIT_SECONDS = 2.0
_MAX_DRAW_ATTEMPTS = 3
_CONFLICT = 409


class BudgetExhausted(Exception):
    """A program's budget is used up.

    Parameters
    ----------
    reason : EndReason
        Which limit it has reached.
    """

    def __init__(self, reason: EndReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


@frozen(kw_only=True)
class CallCost:
    """What a call may cost.

    Attributes
    ----------
    minimum : Amount
        The prompt and one token.
    worst_case : Amount
        The prompt and the longest answer.
    """

    minimum: Amount
    worst_case: Amount


def call_cost(prompt_tokens: int, max_tokens: int, price: float) -> CallCost:
    """Return what a call may cost at a price for each token."""
    minimum = prompt_tokens + 1
    worst_case = prompt_tokens + max_tokens
    return CallCost(
        minimum=Amount(minimum, minimum * price),
        worst_case=Amount(worst_case, worst_case * price),
    )


class ProgramBudgets:
    """The budgets of the programs that this daemon holds.

    Parameters
    ----------
    programs : LocalPrograms
        The programs.
    """

    def __init__(self, programs: LocalPrograms) -> None:
        self.programs = programs

    def available(self, local_program: LocalProgram) -> Amount:
        """Return what is drawn and neither used nor reserved."""
        state = self.programs.state(local_program.id)
        if state is None:
            return ZERO
        return state.ledger.drawn - (local_program.reserved or ZERO)

    async def reserve(self, local_program: LocalProgram, cost: CallCost) -> Amount:
        """Reserve all that is drawn, at least a call's worst case, for it.

        Raises
        ------
        Refusal
            If it doesn't fit into the budget, or a draw is needed while the
            log is down.
        BudgetExhausted
            If not even the shortest answer fits.
        """
        local_program.last_worst_case = cost.worst_case
        for _ in range(_MAX_DRAW_ATTEMPTS):
            available = self.available(local_program)
            if available.covers(cost.worst_case):
                local_program.reserved = available
                return available
            await self._draw_for(local_program, cost)
        raise _budget_too_small_refusal(cost.worst_case, self.available(local_program))

    def release(self, local_program: LocalProgram) -> None:
        """End the reservation of a call that used nothing or is recorded."""
        local_program.reserved = None

    def settle(self, local_program: LocalProgram, used: Amount, reason: str) -> None:
        """Record what a call used that ended without a turn."""
        local_program.reserved = None
        if used == ZERO:
            return
        record = BudgetSettled(
            author=self.programs.incarnation,
            time=self.programs.clock.now(),
            program=local_program.id,
            tokens=used.tokens,
            money=used.money,
            reason=reason,
        )
        self.programs.enqueue(local_program, record)

    def draw_ahead(self, local_program: LocalProgram) -> None:
        """Start a draw if the next call may need it and the log is up."""
        state = self.programs.state(local_program.id)
        if state is None or state.ended or local_program.draw_task is not None:
            return
        if not self.programs.writer.available:
            return
        wanted = _draw_amount(state, local_program.last_worst_case)
        if not self.available(local_program).covers(local_program.last_worst_case):
            self._start_draw(local_program, wanted.at_most(state.ledger.remaining))

    async def _draw_for(self, local_program: LocalProgram, cost: CallCost) -> None:
        state = self.programs.state(local_program.id)
        assert state is not None
        within_reach = self.available(local_program) + state.ledger.remaining
        if not within_reach.covers(cost.worst_case):
            raise _reservation_error(state, cost, within_reach)
        self.programs.gate.check()
        wanted = _draw_amount(state, cost.worst_case).at_most(state.ledger.remaining)
        task = local_program.draw_task or self._start_draw(local_program, wanted)
        if not await done_within(self.programs.clock, task, _DRAW_WAIT_SECONDS):
            raise journal_unavailable_refusal()
        try:
            apply_result = task.result()
        except LogError as error:
            raise journal_unavailable_refusal() from error
        if not apply_result.applied and apply_result.reason != "budget":
            refusal = rejected_record_refusal(
                apply_result, self.programs.state(local_program.id)
            )
            refusal.ran = Ran.NO
            raise refusal

    def _start_draw(
        self, local_program: LocalProgram, amount: Amount
    ) -> asyncio.Task[ApplyResult]:
        record = BudgetDrawn(
            author=self.programs.incarnation,
            time=self.programs.clock.now(),
            program=local_program.id,
            tokens=amount.tokens,
            money=amount.money,
        )
        task = self.programs.run_in_background(self.programs.append_and_apply(record))
        local_program.draw_task = task

        def done(_: asyncio.Task[ApplyResult]) -> None:
            local_program.draw_task = None

        task.add_done_callback(done)
        return task


def initial_draw(limit: Amount) -> Amount:
    """Return the draw that a program's creation carries."""
    return _regular_draw(limit)


def _draw_amount(state: Program, worst_case: Amount) -> Amount:
    share = _regular_draw(state.ledger.limit)
    return Amount(
        max(share.tokens, 2 * worst_case.tokens), max(share.money, 2 * worst_case.money)
    )


def _regular_draw(limit: Amount) -> Amount:
    return Amount(
        max(1, int(limit.tokens * DRAW_FRACTION)), limit.money * DRAW_FRACTION
    )


def _reservation_error(state: Program, cost: CallCost, remaining: Amount) -> Exception:
    if remaining.covers(cost.minimum) or state.ledger.shared != ZERO:
        return _budget_too_small_refusal(cost.worst_case, remaining)
    if remaining.tokens < cost.minimum.tokens:
        return BudgetExhausted(EndReason.TOKEN_LIMIT)
    return BudgetExhausted(EndReason.MONEY_LIMIT)


def _budget_too_small_refusal(worst_case: Amount, remaining: Amount) -> Refusal:
    return Refusal(
        "budget_too_small",
        f"The call may use {worst_case.tokens} tokens; "
        f"{remaining.tokens} are left for it.",
        _CONFLICT,
    )
