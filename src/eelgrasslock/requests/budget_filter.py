"""The filter that keeps each call inside its program's budget."""

from eelgrasslock.exceptions import Ran, Refusal
from eelgrasslock.programs.budgets import BudgetExhausted, CallCost, call_cost
from eelgrasslock.programs.controller import Programs
from eelgrasslock.programs.ledger import ZERO, Amount
from eelgrasslock.programs.limits import ended_refusal
from eelgrasslock.programs.live_programs import LiveProgram, same_hold
from eelgrasslock.requests.exchange import Exchange, Proceed, RequestKind


class BudgetFilter:
    """Reserves a call's worst case before it runs and settles what it used.

    Parameters
    ----------
    programs : Programs
        The programs.
    """

    name = "budget"

    def __init__(self, programs: Programs) -> None:
        self.programs = programs

    async def handle(self, exchange: Exchange, proceed: Proceed) -> None:
        """Run the call inside a reservation."""
        if exchange.kind is not RequestKind.MODEL or not exchange.program:
            await proceed(exchange)
            return
        live = await self.programs.hold(exchange.program)
        cost = self._cost(exchange)
        reserved = await self._reserve(live, cost)
        exchange.token_allowance = reserved.tokens
        state = self.programs.live_programs.state(live.id)
        before = state.copy() if state is not None else None
        try:
            await proceed(exchange)
        except BaseException as error:
            now = self.programs.live_programs.state(live.id)
            if same_hold(before, now):
                self._settle_failed(live, exchange, cost, error)
            self.programs.budgets.release(live)
            raise
        self._settle_rest(live, exchange)
        self.programs.budgets.draw_ahead(live)

    def _cost(self, exchange: Exchange) -> CallCost:
        price = self.programs.price(exchange.model)
        return call_cost(exchange.prompt_tokens, exchange.max_tokens, price)

    async def _reserve(self, live: LiveProgram, cost: CallCost) -> Amount:
        try:
            return await self.programs.budgets.reserve(live, cost)
        except BudgetExhausted as exhausted:
            reason = exhausted.reason.value
        await self.programs.end(live.id, reason)
        raise ended_refusal(reason)

    def _settle_failed(
        self,
        live: LiveProgram,
        exchange: Exchange,
        cost: CallCost,
        error: BaseException,
    ) -> None:
        if live.reserved is None:
            return
        used = self._used(exchange)
        if used == ZERO and _may_have_run(exchange, error):
            used = cost.worst
        self.programs.budgets.settle(live, used, type(error).__name__)

    def _settle_rest(self, live: LiveProgram, exchange: Exchange) -> None:
        """Settle a call that ended well without a turn; there should be none."""
        if live.reserved is not None:
            self.programs.budgets.settle(live, self._used(exchange), "no_turn")

    def _used(self, exchange: Exchange) -> Amount:
        price = self.programs.price(exchange.model)
        return Amount(exchange.tokens_used, exchange.tokens_used * price)


def _may_have_run(exchange: Exchange, error: BaseException) -> bool:
    if isinstance(error, Refusal) and error.ran is Ran.NO:
        return False
    return exchange.sent is not False
