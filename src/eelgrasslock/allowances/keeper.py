"""Keeps the turns of programs inside their budgets, over all daemons."""

import asyncio
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from loguru import logger

from eelgrasslock.allowances.account import Account, Reservation
from eelgrasslock.allowances.ledger import DrawOrder, Ledger
from eelgrasslock.allowances.offline import (
    OfflineAnswers,
    offline_limit,
    offline_room,
)
from eelgrasslock.allowances.refusals import budget_spent, budget_unknown
from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import (
    AppendUnresolved,
    LogUnavailable,
    PeerUnavailable,
)
from eelgrasslock.scheduling.load_shedding import ProgramStage

if TYPE_CHECKING:
    from loguru import Logger

ACCOUNTS_KEPT = 20_000
RECLAIM_PAUSE_SECONDS = 1.0

AskHolder = Callable[[str, str], Awaitable[int]]
CountTokens = Callable[[str, int], None]
SuggestHome = Callable[[], str]
AskOffline = Callable[[str], Awaitable[OfflineAnswers | None]]

_log = logger.bind(part="allowances")


async def _ask_nobody(holder: str, program: str) -> int:
    raise PeerUnavailable(f"{holder} can't be asked.")


async def _offline_never(program: str) -> OfflineAnswers | None:
    return None


def _count_nothing(action: str, tokens: int) -> None:
    """Drop what nobody counts."""


class Allowances:
    """The programs' accounts at this daemon.

    Parameters
    ----------
    ledger : Ledger
        Draws on budgets.
    clock : Clock
        The time.
    ask_holder : callable
        Asks another daemon to give up what it has not spent on a program, and
        returns how much that is; raises `PeerUnavailable`.
    ask_offline : callable
        Asks the daemons in reach what they spent on a program without the log;
        returns None if they may not decide.
    on_tokens : callable
        Told what became of tokens, in a word, and how many.
    """

    def __init__(
        self,
        ledger: Ledger,
        clock: Clock,
        ask_holder: AskHolder = _ask_nobody,
        ask_offline: AskOffline = _offline_never,
        on_tokens: CountTokens = _count_nothing,
    ) -> None:
        self.on_tokens = on_tokens
        self.ledger = ledger
        self.clock = clock
        self.ask_holder = ask_holder
        self.ask_offline = ask_offline
        self.accounts: OrderedDict[str, Account] = OrderedDict()
        self._giving_back: set[asyncio.Task[None]] = set()

    async def reserve(
        self,
        program: str,
        budget: int,
        worst: int,
        request: str = "",
        suggest_home: SuggestHome = lambda: "",
    ) -> Reservation:
        """Set a turn's worst case aside, drawing for it if need be.

        Parameters
        ----------
        program : str
            The program.
        budget : int
            What all its turns may generate.
        worst : int
            The most that this turn may generate.
        request : str
            The request's id, for the log.
        suggest_home : callable
            Names the engine that would run the program's first turn.

        Raises
        ------
        Refusal
            402 if the budget is spent, 503 if that can't be told now.
        """
        account = self._account(program, budget)
        stage = ProgramStage.UNDER_WAY
        while account.free < worst:
            suggested = "" if account.home else suggest_home()
            stage = await self._draw(account, worst, request, suggested)
        account.reserve(worst, self.clock.monotonic())
        return Reservation(account=account, tokens=worst, stage=stage)

    def settle(self, reservation: Reservation, used: int) -> None:
        """Note what a turn has used."""
        now = self.clock.monotonic()
        reservation.account.settle(reservation.tokens, used, now)

    def give_up(self, reservation: Reservation) -> None:
        """Give back what was drawn for a turn that is not to run.

        The program's next daemon then finds its budget whole, and that it has
        been turned away before.
        """
        account = reservation.account
        self.settle(reservation, 0)
        if account.reserved or account.spent or account.offline:
            return
        task = asyncio.create_task(self._give_back(account))
        self._giving_back.add(task)
        task.add_done_callback(self._giving_back.discard)

    def release(self, program: str) -> int:
        """Give up what is not spent or set aside of a program's budget.

        The daemon that asked records it, so the tokens are its own from now on.
        """
        account = self.accounts.get(program)
        if account is None:
            return 0
        tokens = max(0, account.free)
        account.drawn -= tokens
        if tokens:
            self.on_tokens("released", tokens)
            _log.bind(program=program).info("Released {} tokens to a peer.", tokens)
        return tokens

    async def give_back_all(self) -> None:
        """Give back what no turn will spend here, before the daemon ends."""
        for account in list(self.accounts.values()):
            await self._give_back(account)

    async def _give_back(self, account: Account) -> None:
        tokens = account.free
        if tokens <= 0:
            return
        account.drawn -= tokens
        try:
            await self.ledger.give_back(account.program, tokens)
        except (LogUnavailable, AppendUnresolved) as error:
            _log.bind(program=account.program).info(
                "{} tokens stay drawn: {}", tokens, error
            )

    async def _draw(
        self, account: Account, worst: int, request: str, suggested_home: str
    ) -> ProgramStage:
        needed = worst - account.free
        try:
            drawn = await self.ledger.draw(
                DrawOrder(
                    program=account.program,
                    budget=account.budget,
                    needed=needed,
                    worst=worst,
                    home=account.home,
                    suggested_home=suggested_home,
                )
            )
        except (LogUnavailable, AppendUnresolved) as error:
            if await self._spend_offline(account, needed, worst, request):
                return ProgramStage.UNKNOWN
            self._describe(account, request, worst).info("No draw: {}", error)
            self.on_tokens("refused_unknown", worst)
            raise budget_unknown() from error
        account.drawn += drawn.tokens
        account.home = drawn.home
        self.on_tokens("drawn", drawn.tokens)
        if not drawn.tokens and not await self._reclaim(account):
            self._describe(account, request, worst).info("The budget is spent.")
            self.on_tokens("refused_spent", worst)
            raise budget_spent()
        return drawn.stage

    async def _spend_offline(
        self, account: Account, needed: int, worst: int, request: str
    ) -> bool:
        """Add tokens without the log, if the daemons in reach allow it.

        They count before the others are asked, so that of two daemons that ask
        at once each sees the other's.
        """
        if needed > offline_limit(account.budget, worst):
            return False
        account.asked += needed
        try:
            answers = await self.ask_offline(account.program)
            if answers is None:
                return False
            own = account.offline + account.asked
            drawn = self.ledger.drawn(account.program)
            room = offline_room(
                account.budget, worst, own, drawn, answers.words, answers.missing
            )
            if room < 0:
                self._describe(account, request, worst).info(
                    "The share without the log is used up, by {} tokens; {} daemons"
                    " answered, {} did not.",
                    -room,
                    len(answers.words),
                    answers.missing,
                )
                return False
        finally:
            account.asked -= needed
        account.offline += needed
        account.drawn += needed
        self.on_tokens("offline", needed)
        self._describe(account, request, worst).info(
            "{} tokens may be used without the log, {} of the share are left;"
            " {} daemons answered, {} did not.",
            needed,
            room,
            len(answers.words),
            answers.missing,
        )
        return True

    def offline_word(self, program: str) -> tuple[int, int]:
        """Return what was spent here without the log, and what is drawn.

        What is left of it is given up, since another daemon needs some now.
        """
        account = self.accounts.get(program)
        if account is None:
            return 0, self.ledger.drawn(program)
        unused = max(0, min(account.offline, account.free))
        account.offline -= unused
        account.drawn -= unused
        return account.offline + account.asked, self.ledger.drawn(program)

    async def record_offline(self) -> None:
        """Record what was spent without the log, once it answers.

        Raises
        ------
        LogUnavailable, AppendUnresolved
            If it does not take all of it; the rest is tried again later. What
            may have been taken is recorded twice rather than not at all.
        """
        for account in list(self.accounts.values()):
            tokens = account.offline
            if not tokens:
                continue
            await self.ledger.record(account.program, tokens)
            account.offline = max(0, account.offline - tokens)
            _log.bind(program=account.program).info("Recorded {} tokens.", tokens)

    async def keep(self) -> None:
        """Repeat what the log would soon drop, and forget what nobody asks for.

        A program that lives longer than the log keeps records would seem to
        have spent nothing to a daemon that is new to it.

        Raises
        ------
        LogUnavailable, AppendUnresolved
            If the log did not take a repeat; it is tried again later.
        """
        oldest = self.clock.monotonic() - self.ledger.retention_seconds
        for account in list(self.accounts.values()):
            if account.used_at < oldest and account.is_settled:
                self.accounts.pop(account.program, None)
            elif self.ledger.is_due(account.program):
                await self.ledger.record(account.program, 0)
        self.ledger.forget()

    async def _reclaim(self, account: Account) -> bool:
        """Take back what other daemons hold unspent; return whether that helped."""
        now = self.clock.monotonic()
        if now < account.reclaimed_at + RECLAIM_PAUSE_SECONDS:
            return False
        account.reclaimed_at = now
        log = _log.bind(program=account.program)
        found = 0
        for holder in self.ledger.other_holders(account.program):
            try:
                tokens = await self.ask_holder(holder, account.program)
                if tokens:
                    await self.ledger.take_back(account.program, holder, tokens)
            except PeerUnavailable as error:
                log.info("What {} holds stays drawn: {}", holder, error)
                continue
            except (LogUnavailable, AppendUnresolved) as error:
                log.info("Tokens of {} are lost: {}", holder, error)
                continue
            found += tokens
        return found > 0

    def _describe(self, account: Account, request: str, worst: int) -> "Logger":
        """Return a log that tells what a decision rests on."""
        return _log.bind(
            request=request,
            program=account.program,
            budget=account.budget,
            worst=worst,
            drawn_here=account.drawn,
            spent_here=account.spent,
            set_aside=account.reserved,
            drawn_by_all=self.ledger.drawn(account.program),
        )

    def _account(self, program: str, budget: int) -> Account:
        account = self.accounts.get(program)
        if account is None:
            account = Account(program=program, budget=budget)
            self.accounts[program] = account
            if len(self.accounts) > ACCOUNTS_KEPT:
                self.accounts.popitem(last=False)
        self.accounts.move_to_end(program)
        account.used_at = self.clock.monotonic()
        account.budget = budget
        return account
