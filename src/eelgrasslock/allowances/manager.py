"""Keeps programs within their token budgets across all daemons."""

from collections import OrderedDict
from typing import TYPE_CHECKING

from loguru import logger

from eelgrasslock.allowances.account import Account, Reservation
from eelgrasslock.allowances.callbacks import (
    OnTokens,
    QueryOfflineUsage,
    RequestRelease,
    SuggestEndpoint,
    ignore_tokens,
    no_offline_usage,
    no_peer_to_release,
)
from eelgrasslock.allowances.draw_ledger import DrawLedger
from eelgrasslock.allowances.draw_request import DrawRequest
from eelgrasslock.allowances.offline import (
    offline_limit,
    offline_remaining,
)
from eelgrasslock.allowances.reclaim import reclaim
from eelgrasslock.allowances.refusals import (
    budget_spent_refusal,
    budget_unknown_refusal,
)
from eelgrasslock.allowances.unrecorded_draws import UnrecordedDraws
from eelgrasslock.background_tasks import BackgroundTasks
from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import (
    AppendUnresolved,
    LogUnavailable,
)
from eelgrasslock.scheduling.load_shedding import ProgramStage

if TYPE_CHECKING:
    from loguru import Logger

MAX_ACCOUNTS = 20_000
RECLAIM_INTERVAL_SECONDS = 1.0

_log = logger.bind(part="allowances")


class AllowanceManager:
    """Manages the token accounts of programs at this daemon.

    Parameters
    ----------
    ledger : DrawLedger
        Draws tokens from budgets.
    clock : Clock
        The time.
    request_release : callable
        Asks another daemon to release its unspent tokens of a program, and
        returns how many there are; raises `PeerUnavailable`.
    query_offline_usage : callable
        Asks the reachable daemons what they spent on a program without the log;
        returns None if they may not spend.
    on_tokens : callable
        Called with an action, such as ``drawn``, and a number of tokens.
    is_first_start : bool
        Whether this daemon started with the whole fleet, for the first time.

    Attributes
    ----------
    accounts : OrderedDict of str to Account
        The accounts by program, the least recently used first.
    unrecorded : UnrecordedDraws
        Their draws that the log does not hold yet.
    """

    def __init__(
        self,
        ledger: DrawLedger,
        clock: Clock,
        request_release: RequestRelease = no_peer_to_release,
        query_offline_usage: QueryOfflineUsage = no_offline_usage,
        on_tokens: OnTokens = ignore_tokens,
        is_first_start: bool = False,
    ) -> None:
        self.is_first_start = is_first_start
        self.started_at = clock.monotonic()
        self.on_tokens = on_tokens
        self.ledger = ledger
        self.clock = clock
        self.request_release = request_release
        self.query_offline_usage = query_offline_usage
        self.accounts: OrderedDict[str, Account] = OrderedDict()
        self.unrecorded = UnrecordedDraws(
            self.accounts, self._get_account, ledger, clock, on_tokens
        )
        self.returns = BackgroundTasks()

    async def reserve(
        self,
        program: str,
        budget: int,
        max_generated_tokens: int,
        request: str = "",
        suggest_endpoint: SuggestEndpoint = lambda: "",
    ) -> Reservation:
        """Reserve the most tokens that a turn may generate; draw them if needed.

        Parameters
        ----------
        program : str
            The program's id.
        budget : int
            Tokens that all turns of the program may generate.
        max_generated_tokens : int
            The most tokens that this turn may generate.
        request : str
            The request's id, for log lines.
        suggest_endpoint : callable
            Returns the engine that would run the program's first turn.

        Raises
        ------
        Refusal
            402 if the budget is spent, 503 if the budget can't be checked now.
        """
        account = self._get_account(program, budget)
        stage = ProgramStage.UNDER_WAY
        while account.available < max_generated_tokens:
            suggested = "" if account.preferred_endpoint else suggest_endpoint()
            stage = await self._draw(account, max_generated_tokens, request, suggested)
        account.reserve(max_generated_tokens, self.clock.monotonic())
        decision_log = self._decision_log(account, request, max_generated_tokens)
        decision_log.bind(reserved_tokens=max_generated_tokens).info(
            "Reserved {} tokens for a turn.", max_generated_tokens
        )
        return Reservation(account=account, tokens=max_generated_tokens, stage=stage)

    def settle(self, reservation: Reservation, used: int) -> None:
        """Replace a reservation by the tokens that the turn used."""
        now = self.clock.monotonic()
        reservation.account.settle(reservation.tokens, used, now)

    def cancel(self, reservation: Reservation) -> None:
        """Return the tokens that were drawn for a turn that will not run.

        The program's next daemon then finds the whole budget, and finds that the
        program was refused before.
        """
        account = reservation.account
        self.settle(reservation, 0)
        if account.reserved or account.spent or account.offline_drawn:
            return
        self.returns.start(self._return_unused(account))

    def release(self, program: str) -> int:
        """Release the tokens of a program that are not spent or reserved.

        The peer that asked for them records the release.
        """
        account = self.accounts.get(program)
        if account is None:
            return 0
        tokens = max(0, account.available)
        account.drawn -= tokens
        if tokens:
            self.on_tokens("released", tokens)
            _log.bind(program=program).info("Released {} tokens to a peer.", tokens)
        return tokens

    async def return_all(self) -> None:
        """Return all unspent tokens to the budgets before the daemon stops."""
        for account in list(self.accounts.values()):
            await self._return_unused(account)

    async def _return_unused(self, account: Account) -> None:
        tokens = account.available
        if tokens <= 0:
            return
        account.drawn -= tokens
        try:
            await self.ledger.return_tokens(account.program, tokens)
        except (LogUnavailable, AppendUnresolved) as error:
            _log.bind(program=account.program).info(
                "{} unspent tokens could not be returned: {}", tokens, error
            )

    async def _draw(
        self,
        account: Account,
        max_generated_tokens: int,
        request: str,
        suggested_endpoint: str,
    ) -> ProgramStage:
        needed_tokens = max_generated_tokens - account.available
        try:
            result = await self.ledger.draw(
                DrawRequest(
                    program=account.program,
                    budget=account.budget,
                    needed_tokens=needed_tokens,
                    max_generated_tokens=max_generated_tokens,
                    preferred_endpoint=account.preferred_endpoint,
                    suggested_endpoint=suggested_endpoint,
                )
            )
        except (LogUnavailable, AppendUnresolved) as error:
            if await self._draw_offline(
                account, needed_tokens, max_generated_tokens, request
            ):
                return ProgramStage.UNKNOWN
            self._decision_log(account, request, max_generated_tokens).info(
                "Draw failed: {}", error
            )
            self.on_tokens("refused_unknown", max_generated_tokens)
            raise budget_unknown_refusal() from error
        account.drawn += result.tokens
        account.preferred_endpoint = result.preferred_endpoint
        self.on_tokens("drawn", result.tokens)
        if not result.tokens and not await self._reclaim_once(account):
            self._decision_log(account, request, max_generated_tokens).info(
                "The program's budget is spent."
            )
            self.on_tokens("refused_spent", max_generated_tokens)
            raise budget_spent_refusal()
        return result.stage

    async def _draw_offline(
        self,
        account: Account,
        needed_tokens: int,
        max_generated_tokens: int,
        request: str,
    ) -> bool:
        """Add tokens without the log, if the usage of the reachable peers allows it.

        The tokens count as pending before the peers are queried, so that two
        daemons that query at once see each other's tokens.
        """
        limit = offline_limit(
            account.budget, max_generated_tokens, self.has_full_history
        )
        if needed_tokens > limit:
            self._decision_log(account, request, max_generated_tokens).info(
                "The budget allows {} tokens without the log.", limit
            )
            return False
        account.offline_pending += needed_tokens
        try:
            report = await self.query_offline_usage(account.program)
            if report is None:
                return False
            own_spent = account.offline_drawn + account.offline_pending
            drawn = self.ledger.total_drawn(account.program)
            remaining = offline_remaining(
                account.budget,
                max_generated_tokens,
                own_spent,
                drawn,
                report,
            )
            if remaining < 0:
                decision_log = self._decision_log(
                    account, request, max_generated_tokens
                )
                decision_log.bind(full_history=report.has_full_history).info(
                    "The share without the log is used up, by {} tokens; {} daemons"
                    " answered, {} did not.",
                    -remaining,
                    len(report.usages),
                    report.missing,
                )
                return False
        finally:
            account.offline_pending -= needed_tokens
        account.offline_drawn += needed_tokens
        account.drawn += needed_tokens
        self.on_tokens("offline", needed_tokens)
        decision_log = self._decision_log(account, request, max_generated_tokens)
        decision_log.bind(offline_tokens=needed_tokens).info(
            "Drew {} tokens without the log, {} of the offline share are left;"
            " {} daemons answered, {} did not.",
            needed_tokens,
            remaining,
            len(report.usages),
            report.missing,
        )
        return True

    @property
    def has_full_history(self) -> bool:
        """Whether this daemon has run for as long as any program may have lasted.

        A program that outlasts the log's retention is known from its later draws.
        """
        uptime_seconds = self.clock.monotonic() - self.started_at
        return self.is_first_start or uptime_seconds >= self.ledger.retention_seconds

    async def refresh(self) -> None:
        """Write totals again before the log drops them, and evict idle accounts.

        Otherwise a daemon that is new to a program would find no draws of it once
        the program is older than the log's retention.

        Raises
        ------
        LogUnavailable, AppendUnresolved
            If an append failed; it is retried later.
        """
        oldest = self.clock.monotonic() - self.ledger.retention_seconds
        for account in list(self.accounts.values()):
            if account.last_used_at < oldest and account.is_idle:
                self.accounts.pop(account.program, None)
            elif self.ledger.needs_refresh(account.program):
                await self.ledger.record_draw(account.program, 0)
        self.ledger.drop_expired()

    async def _reclaim_once(self, account: Account) -> bool:
        """Reclaim tokens unless that was tried just now; return whether it gave any."""
        now = self.clock.monotonic()
        if now < account.last_reclaim_at + RECLAIM_INTERVAL_SECONDS:
            return False
        account.last_reclaim_at = now
        return await reclaim(account.program, self.ledger, self.request_release)

    def _decision_log(
        self, account: Account, request: str, max_generated_tokens: int
    ) -> "Logger":
        """Return a logger with the values on which a decision is based."""
        return _log.bind(
            request=request,
            program=account.program,
            budget=account.budget,
            worst=max_generated_tokens,
            drawn_here=account.drawn,
            spent_here=account.spent,
            set_aside=account.reserved,
            drawn_by_all=self.ledger.total_drawn(account.program),
        )

    def _get_account(self, program: str, budget: int) -> Account:
        account = self.accounts.get(program)
        if account is None:
            account = Account(program=program, budget=budget)
            self.accounts[program] = account
            if len(self.accounts) > MAX_ACCOUNTS:
                self.accounts.popitem(last=False)
        self.accounts.move_to_end(program)
        account.last_used_at = self.clock.monotonic()
        account.budget = budget
        return account
