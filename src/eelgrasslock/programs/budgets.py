"""Program budgets: draws ahead of need, reservations, and settlement of use.

The holder of a program draws part of its budget through the journal, and
reserves the worst case of each call from what is drawn, so that most calls
need no journal record before they run.
"""

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
_DRAW_TIMEOUT_SECONDS = 2.0
_MAX_DRAW_ATTEMPTS = 3
_CONFLICT = 409


class BudgetExhausted(Exception):
    """A program's budget is used up.

    Parameters
    ----------
    reason : EndReason
        The limit that the program has reached.
    """

    def __init__(self, reason: EndReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


@frozen(kw_only=True)
class CallCost:
    """Range of what a call may cost.

    Attributes
    ----------
    minimum : Amount
        Cost of the prompt and an answer of one token.
    worst_case : Amount
        Cost of the prompt and the longest answer.
    """

    minimum: Amount
    worst_case: Amount


def call_cost(prompt_tokens: int, max_tokens: int, price: float) -> CallCost:
    """Return the cost range of a call at a price per token."""
    minimum = prompt_tokens + 1
    worst_case = prompt_tokens + max_tokens
    return CallCost(
        minimum=Amount(minimum, minimum * price),
        worst_case=Amount(worst_case, worst_case * price),
    )


class ProgramBudgets:
    """Budgets of the programs that this daemon holds.

    Parameters
    ----------
    programs : LocalPrograms
        The programs.
    """

    def __init__(self, programs: LocalPrograms) -> None:
        self.programs = programs

    def available(self, local_program: LocalProgram) -> Amount:
        """Return the part of the draw that is neither used nor reserved."""
        state = self.programs.state(local_program.id)
        if state is None:
            return ZERO
        return state.ledger.drawn - (local_program.reserved or ZERO)

    async def reserve(self, local_program: LocalProgram, cost: CallCost) -> Amount:
        """Reserve the whole draw for a call; draw first if its worst case needs it.

        Returns
        -------
        reserved : Amount
            The reservation, at least the call's worst case.

        Raises
        ------
        Refusal
            If the worst case does not fit into the budget, or a draw is needed
            while the log is down.
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
        """End the reservation of a call that used nothing or that is recorded."""
        local_program.reserved = None

    def settle(self, local_program: LocalProgram, used: Amount, reason: str) -> None:
        """End a reservation and record what a call without a turn used."""
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
        """Start a draw if the log is up and the next call may not fit the draw."""
        state = self.programs.state(local_program.id)
        if state is None or state.ended or local_program.draw_task is not None:
            return
        if not self.programs.writer.available:
            return
        amount = _draw_amount(state, local_program.last_worst_case)
        if not self.available(local_program).covers(local_program.last_worst_case):
            self._start_draw(local_program, amount.at_most(state.ledger.remaining))

    async def _draw_for(self, local_program: LocalProgram, cost: CallCost) -> None:
        state = self.programs.state(local_program.id)
        assert state is not None
        drawable = self.available(local_program) + state.ledger.remaining
        if not drawable.covers(cost.worst_case):
            raise _reservation_error(state, cost, drawable)
        self.programs.log_availability.check()
        amount = _draw_amount(state, cost.worst_case).at_most(state.ledger.remaining)
        task = local_program.draw_task or self._start_draw(local_program, amount)
        if not await done_within(self.programs.clock, task, _DRAW_TIMEOUT_SECONDS):
            raise journal_unavailable_refusal()
        try:
            result = task.result()
        except LogError as error:
            raise journal_unavailable_refusal() from error
        if not result.applied and result.reason != "budget":
            refusal = rejected_record_refusal(
                result, self.programs.state(local_program.id)
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
    """Return the draw that is part of a program's creation record."""
    return _regular_draw(limit)


def _draw_amount(state: Program, worst_case: Amount) -> Amount:
    regular = _regular_draw(state.ledger.limit)
    return Amount(
        max(regular.tokens, 2 * worst_case.tokens),
        max(regular.money, 2 * worst_case.money),
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
