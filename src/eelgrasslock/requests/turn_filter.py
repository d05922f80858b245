"""The filter that keeps a program's turns in order and its history whole."""

import contextlib
import hashlib
from collections.abc import AsyncIterator

from attrs import define

from eelgrasslock.exceptions import Ran, Refusal
from eelgrasslock.programs.controller import ProgramController
from eelgrasslock.programs.history import (
    Message,
    canonical_json,
    extend_digest,
    history_digest,
)
from eelgrasslock.programs.journal_records import TurnCommitted
from eelgrasslock.programs.ledger import Amount
from eelgrasslock.programs.limits import program_ended_refusal, reached_limit
from eelgrasslock.programs.local_programs import (
    LocalProgram,
    rejected_record_refusal,
    same_claim,
)
from eelgrasslock.programs.program import Program
from eelgrasslock.programs.record_rules import rejected_result
from eelgrasslock.requests.exchange import (
    SECRET_HEADER,
    CallResult,
    Exchange,
    Proceed,
    RequestKind,
)
from eelgrasslock.requests.replay import replay_answer

_WAITING_LIMIT = 16
_BUSY_RETRY_SECONDS = 2.0
_CONFLICT = 409
_TOO_MANY = 429
_BAD_REQUEST = 400
_DELIVERY_KEYS = frozenset({"stream", "stream_options"})


class TurnFilter:
    """Runs a program's calls one by one, each on exactly its history.

    Parameters
    ----------
    programs : ProgramController
        The programs.
    """

    name = "turn"

    def __init__(self, programs: ProgramController) -> None:
        self.programs = programs

    async def handle(self, exchange: Exchange, proceed: Proceed) -> None:
        """Check the call's turn, run it, and journal it before its end."""
        if exchange.kind is not RequestKind.MODEL or not exchange.program:
            await proceed(exchange)
            return
        secret = exchange.request.header(SECRET_HEADER)
        await self.programs.authorize(exchange.program, secret)
        local_program = await self.programs.acquire(exchange.program)
        try:
            async with _turn_of(local_program):
                await self._run(local_program, exchange, proceed)
        except Refusal as refusal:
            local_program.recent_refusals.append(refusal)
            raise

    async def _run(
        self, local_program: LocalProgram, exchange: Exchange, proceed: Proceed
    ) -> None:
        """Serve the call that is now first in the program's order."""
        await self.programs.acquire(exchange.program)
        state = await self.programs.takeover.find(exchange.program)
        if _is_repeat(state, exchange):
            exchange.journaled = not local_program.unjournaled.records
            await replay_answer(exchange, state.last_answer)
            return
        await self._check_limits(state)
        messages = _new_messages(state, exchange)
        self.programs.local_programs.check_backlog(local_program)
        turn = _Turn(self.programs, local_program, state.copy(), exchange, messages)
        exchange.before_final.append(turn.commit)
        await proceed(exchange)

    async def _check_limits(self, state: Program) -> None:
        if state.ended:
            raise program_ended_refusal(state.ended)
        reason = reached_limit(state, self.programs.clock.now())
        if reason is not None:
            await self.programs.end(state.id, reason.value)
            raise program_ended_refusal(reason.value)


@define
class _Turn:
    """A turn that runs, to be journaled when its answer is whole."""

    programs: ProgramController
    local_program: LocalProgram
    state: Program
    exchange: Exchange
    messages: list[Message]

    async def commit(self, result: CallResult) -> None:
        """Journal the turn and wait until it counts, or the log is too slow."""
        state = self.programs.local_programs.state(self.local_program.id)
        if not same_claim(self.state, state):
            self.programs.budgets.release(self.local_program)
            raise rejected_record_refusal(rejected_result("superseded"), state)
        record = self._record(result)
        self.programs.budgets.release(self.local_program)
        try:
            journaled = await self.programs.local_programs.append_record(
                self.local_program, record
            )
        except Refusal:
            self._settle_void(result)
            raise
        self.exchange.journaled = journaled

    def _record(self, result: CallResult) -> TurnCommitted:
        added = [*self.messages, result.message]
        price = self.programs.price(self.exchange.model)
        return TurnCommitted(
            author=self.programs.local_programs.incarnation,
            time=self.programs.clock.now(),
            program=self.local_program.id,
            turn=self.state.turn,
            builds_on=self.state.digest,
            digest=extend_digest(self.state.digest, added),
            request_digest=_request_digest(self.exchange),
            messages=added,
            answer=result.answer,
            tokens=result.tokens,
            money=result.tokens * price,
            endpoint=result.endpoint,
            reason=result.reason,
        )

    def _settle_void(self, result: CallResult) -> None:
        """Count a void turn's use, if the budget is still ours to count."""
        state = self.programs.local_programs.state(self.local_program.id)
        ours = same_claim(self.state, state)
        if ours and state is not None and not state.ended:
            price = self.programs.price(self.exchange.model)
            used = Amount(result.tokens, result.tokens * price)
            self.programs.budgets.settle(self.local_program, used, "void_turn")


@contextlib.asynccontextmanager
async def _turn_of(local_program: LocalProgram) -> AsyncIterator[None]:
    """Wait for the program's calls that came first; the lock is fair."""
    if local_program.waiting_calls >= _WAITING_LIMIT:
        raise Refusal(
            "program_busy",
            "Too many calls of this program wait already.",
            _TOO_MANY,
            Ran.NO,
            _BUSY_RETRY_SECONDS,
        )
    local_program.waiting_calls += 1
    try:
        await local_program.call_lock.acquire()
    finally:
        local_program.waiting_calls -= 1
    try:
        yield
    finally:
        local_program.call_lock.release()


def _is_repeat(state: Program, exchange: Exchange) -> bool:
    """Tell whether the last turn is asked for again, by the same request."""
    if not state.last_answer or state.ended:
        return False
    if exchange.turn is not None and exchange.turn != state.turn - 1:
        return False
    return _request_digest(exchange) == state.last_request_digest


def _request_digest(exchange: Exchange) -> str:
    """Return a digest of what is asked, however the answer is to be sent."""
    asked = {
        key: value for key, value in exchange.body.items() if key not in _DELIVERY_KEYS
    }
    return hashlib.sha256(canonical_json(asked)).hexdigest()


def _new_messages(state: Program, exchange: Exchange) -> list[Message]:
    """Return what the call adds to the history that it must extend."""
    if exchange.turn is not None and exchange.turn != state.turn:
        raise _mismatch("turn_mismatch", state)
    if exchange.builds_on and exchange.builds_on != state.digest:
        raise _mismatch("history_mismatch", state)
    messages = exchange.body.get("messages")
    if not isinstance(messages, list) or not all(
        isinstance(message, dict) for message in messages
    ):
        raise Refusal("bad_messages", "There is no list of messages.", _BAD_REQUEST)
    count = len(state.history)
    if history_digest(state.id, messages[:count]) != state.digest:
        raise _mismatch("history_mismatch", state)
    if len(messages) == count:
        raise _mismatch("history_mismatch", state)
    return messages[count:]


def _mismatch(code: str, state: Program) -> Refusal:
    return Refusal(
        code,
        f"The program's next turn is {state.turn}, on history {state.digest}.",
        _CONFLICT,
    )
