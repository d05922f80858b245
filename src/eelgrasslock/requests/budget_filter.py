"""The filter that keeps each call inside its program's budget."""

from eelgrasslock.exceptions import Ran, Refusal
from eelgrasslock.programs.budgets import BudgetExhausted, CallCost, call_cost
from eelgrasslock.programs.controller import ProgramController
from eelgrasslock.programs.ledger import ZERO, Amount
from eelgrasslock.programs.limits import program_ended_refusal
from eelgrasslock.programs.local_programs import LocalProgram, same_claim
from eelgrasslock.requests.exchange import Exchange, Proceed, RequestKind


class BudgetFilter:
    """Reserves a call's worst case before it runs and settles what it used.

    Parameters
    ----------
    programs : ProgramController
        The programs.
    """

    name = "budget"

    def __init__(self, programs: ProgramController) -> None:
        self.programs = programs

    async def handle(self, exchange: Exchange, proceed: Proceed) -> None:
        """Run the call inside a reservation."""
        if exchange.kind is not RequestKind.MODEL or not exchange.program:
            await proceed(exchange)
            return
        local_program = await self.programs.acquire(exchange.program)
        cost = self._cost(exchange)
        reserved = await self._reserve(local_program, cost)
        exchange.token_allowance = reserved.tokens
        state = self.programs.local_programs.state(local_program.id)
        before = state.copy() if state is not None else None
        try:
            await proceed(exchange)
        except BaseException as error:
            now = self.programs.local_programs.state(local_program.id)
            if same_claim(before, now):
                self._settle_failed(local_program, exchange, cost, error)
            self.programs.budgets.release(local_program)
            raise
        self._settle_rest(local_program, exchange)
        self.programs.budgets.draw_ahead(local_program)

    def _cost(self, exchange: Exchange) -> CallCost:
        price = self.programs.price(exchange.model)
        return call_cost(exchange.prompt_tokens, exchange.max_tokens, price)

    async def _reserve(self, local_program: LocalProgram, cost: CallCost) -> Amount:
        try:
            return await self.programs.budgets.reserve(local_program, cost)
        except BudgetExhausted as exhausted:
            reason = exhausted.reason.value
        await self.programs.end(local_program.id, reason)
        raise program_ended_refusal(reason)

    def _settle_failed(
        self,
        local_program: LocalProgram,
        exchange: Exchange,
        cost: CallCost,
        error: BaseException,
    ) -> None:
        if local_program.reserved is None:
            return
        used = self._used(exchange)
        if used == ZERO and _may_have_run(exchange, error):
            used = cost.worst_case
        self.programs.budgets.settle(local_program, used, type(error).__name__)

    def _settle_rest(self, local_program: LocalProgram, exchange: Exchange) -> None:
        """Settle a call that ended well without a turn; there should be none."""
        if local_program.reserved is not None:
            self.programs.budgets.settle(local_program, self._used(exchange), "no_turn")

    def _used(self, exchange: Exchange) -> Amount:
        price = self.programs.price(exchange.model)
        return Amount(exchange.tokens_used, exchange.tokens_used * price)


def _may_have_run(exchange: Exchange, error: BaseException) -> bool:
    if isinstance(error, Refusal) and error.ran is Ran.NO:
        return False
    return exchange.sent is not False
