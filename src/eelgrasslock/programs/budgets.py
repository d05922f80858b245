"""Drawing on programs' budgets ahead of need, and settling what calls used."""

import asyncio

from attrs import frozen

from eelgrasslock.exceptions import LogError, Ran, Refusal
from eelgrasslock.log.log_availability import journal_unavailable_refusal
from eelgrasslock.programs.accept import Verdict
from eelgrasslock.programs.held import done_within
from eelgrasslock.programs.journal_records import BudgetDrawn, BudgetSettled
from eelgrasslock.programs.ledger import ZERO, Amount
from eelgrasslock.programs.limits import EndReason
from eelgrasslock.programs.live_programs import LiveProgram, LivePrograms, void_refusal
from eelgrasslock.programs.program import Program

DRAW_SHARE = 1 / 16
_DRAW_WAIT_SECONDS = 2.0
_DRAW_TRIES = 3
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
    least : Amount
        The prompt and one token.
    worst : Amount
        The prompt and the longest answer.
    """

    least: Amount
    worst: Amount


def call_cost(prompt_tokens: int, max_tokens: int, price: float) -> CallCost:
    """Return what a call may cost at a price for each token."""
    least = prompt_tokens + 1
    worst = prompt_tokens + max_tokens
    return CallCost(
        least=Amount(least, least * price), worst=Amount(worst, worst * price)
    )


class Budgets:
    """The budgets of the programs that this daemon holds.

    Parameters
    ----------
    programs : LivePrograms
        The programs.
    """

    def __init__(self, programs: LivePrograms) -> None:
        self.programs = programs

    def available(self, live: LiveProgram) -> Amount:
        """Return what is drawn and neither used nor reserved."""
        state = self.programs.state(live.id)
        if state is None:
            return ZERO
        return state.ledger.drawn - (live.reserved or ZERO)

    async def reserve(self, live: LiveProgram, cost: CallCost) -> Amount:
        """Reserve all that is drawn, at least a call's worst case, for it.

        Raises
        ------
        Refusal
            If it doesn't fit into the budget, or a draw is needed while the
            log is down.
        BudgetExhausted
            If not even the shortest answer fits.
        """
        live.worst = cost.worst
        for _ in range(_DRAW_TRIES):
            available = self.available(live)
            if available.covers(cost.worst):
                live.reserved = available
                return available
            await self._draw_for(live, cost)
        raise _too_small(cost.worst, self.available(live))

    def release(self, live: LiveProgram) -> None:
        """End the reservation of a call that used nothing or is recorded."""
        live.reserved = None

    def settle(self, live: LiveProgram, used: Amount, reason: str) -> None:
        """Record what a call used that ended without a turn."""
        live.reserved = None
        if used == ZERO:
            return
        record = BudgetSettled(
            author=self.programs.incarnation,
            time=self.programs.clock.now(),
            program=live.id,
            tokens=used.tokens,
            money=used.money,
            reason=reason,
        )
        self.programs.enqueue(live, record)

    def draw_ahead(self, live: LiveProgram) -> None:
        """Start a draw if the next call may need it and the log is up."""
        state = self.programs.state(live.id)
        if state is None or state.ended or live.drawing is not None:
            return
        if not self.programs.writer.available:
            return
        wanted = _wanted(state, live.worst)
        if not self.available(live).covers(live.worst):
            self._start_draw(live, wanted.at_most(state.ledger.left))

    async def _draw_for(self, live: LiveProgram, cost: CallCost) -> None:
        state = self.programs.state(live.id)
        assert state is not None
        within_reach = self.available(live) + state.ledger.left
        if not within_reach.covers(cost.worst):
            raise _out_of_reach(state, cost, within_reach)
        self.programs.gate.check()
        wanted = _wanted(state, cost.worst).at_most(state.ledger.left)
        task = live.drawing or self._start_draw(live, wanted)
        if not await done_within(self.programs.clock, task, _DRAW_WAIT_SECONDS):
            raise journal_unavailable_refusal()
        try:
            verdict = task.result()
        except LogError as error:
            raise journal_unavailable_refusal() from error
        if not verdict.counted and verdict.reason != "budget":
            refusal = void_refusal(verdict, self.programs.state(live.id))
            refusal.ran = Ran.NO
            raise refusal

    def _start_draw(self, live: LiveProgram, amount: Amount) -> asyncio.Task[Verdict]:
        record = BudgetDrawn(
            author=self.programs.incarnation,
            time=self.programs.clock.now(),
            program=live.id,
            tokens=amount.tokens,
            money=amount.money,
        )
        task = self.programs.watch(self.programs.judge(record))
        live.drawing = task

        def done(_: asyncio.Task[Verdict]) -> None:
            live.drawing = None

        task.add_done_callback(done)
        return task


def first_draw(limit: Amount) -> Amount:
    """Return the draw that a program's creation carries."""
    return _share(limit)


def _wanted(state: Program, worst: Amount) -> Amount:
    share = _share(state.ledger.limit)
    return Amount(
        max(share.tokens, 2 * worst.tokens), max(share.money, 2 * worst.money)
    )


def _share(limit: Amount) -> Amount:
    return Amount(max(1, int(limit.tokens * DRAW_SHARE)), limit.money * DRAW_SHARE)


def _out_of_reach(state: Program, cost: CallCost, left: Amount) -> Exception:
    if left.covers(cost.least) or state.ledger.shared != ZERO:
        return _too_small(cost.worst, left)
    if left.tokens < cost.least.tokens:
        return BudgetExhausted(EndReason.TOKEN_LIMIT)
    return BudgetExhausted(EndReason.MONEY_LIMIT)


def _too_small(worst: Amount, left: Amount) -> Refusal:
    return Refusal(
        "budget_too_small",
        f"The call may use {worst.tokens} tokens; {left.tokens} are left for it.",
        _CONFLICT,
    )
