"""Keeps programs within their token budgets across all daemons."""

from collections import OrderedDict
from typing import TYPE_CHECKING

from attrs import evolve
from loguru import logger

from eelgrasslock.allowances.account import Account, Reservation
from eelgrasslock.allowances.callbacks import (
    OnTokens,
    RequestRelease,
    SuggestEndpoint,
    ignore_tokens,
    no_peer_to_release,
)
from eelgrasslock.allowances.draw_ledger import DrawLedger
from eelgrasslock.allowances.draw_request import DrawRequest, DrawResult
from eelgrasslock.allowances.kept_draws import DrawKeeping, NoKeepers
from eelgrasslock.allowances.offline import log_limit
from eelgrasslock.allowances.offline_draws import OfflineDraws
from eelgrasslock.allowances.reclaim import reclaim
from eelgrasslock.allowances.refusals import (
    budget_spent_refusal,
    budget_unknown_refusal,
)
from eelgrasslock.allowances.unrecorded_draws import UnrecordedDraws
from eelgrasslock.background_tasks import BackgroundTasks
from eelgrasslock.clock import Clock
from eelgrasslock.exceptions import AppendUnresolved, LogUnavailable, Refusal
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
    keepers : DrawKeeping
        The daemons that keep what is drawn without the log.
    on_tokens : callable
        Called with an action, such as ``drawn``, and a number of tokens.

    Attributes
    ----------
    accounts : OrderedDict of str to Account
        The accounts by program, the least recently used first.
    unrecorded : UnrecordedDraws
        Their draws that the log does not hold yet.
    offline_draws : OfflineDraws
        Adds tokens to them without the log.
    tasks : BackgroundTasks
        Draws and returns, which no request that ends may cancel.
    """

    def __init__(
        self,
        ledger: DrawLedger,
        clock: Clock,
        request_release: RequestRelease = no_peer_to_release,
        keepers: DrawKeeping | None = None,
        on_tokens: OnTokens = ignore_tokens,
    ) -> None:
        self.on_tokens = on_tokens
        self.ledger = ledger
        self.clock = clock
        self.request_release = request_release
        self.keepers = keepers or NoKeepers()
        self.accounts: OrderedDict[str, Account] = OrderedDict()
        self.unrecorded = UnrecordedDraws(
            self.accounts,
            self._get_account,
            ledger,
            self.keepers,
            clock,
            on_tokens,
        )
        self.offline_draws = OfflineDraws(
            self.unrecorded, ledger, self.keepers, on_tokens
        )
        self.tasks = BackgroundTasks()

    async def reserve(
        self,
        program: str,
        budget: int,
        max_generated_tokens: int,
        request: str = "",
        suggest_endpoint: SuggestEndpoint = lambda: "",
    ) -> Reservation:
        """Reserve the most tokens that a turn may generate; draw them if needed.

        A draw ends even if the caller leaves meanwhile: what the log gives belongs to
        the account, and serves the program's next turn here.

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
            stage = await self.tasks.complete(
                self._draw(account, max_generated_tokens, request, suggested)
            )
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
        self.tasks.start(self._return_unused(account))

    def release(self, program: str) -> int:
        """Release the tokens of a program that are not spent or reserved.

        The peer that asked for them records the release.
        """
        account = self.accounts.get(program)
        if account is None:
            return 0
        account.drop_unused_offline()
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
        """Add tokens to an account; return what was known of the program before.

        Raises
        ------
        Refusal
            402 if the budget is spent, 503 if it can't be checked now.
        """
        draw = _request_for(account, max_generated_tokens, suggested_endpoint)
        decision_log = self._decision_log(account, request, max_generated_tokens)
        try:
            result = await self._draw_from_log(account, draw)
        except (LogUnavailable, AppendUnresolved) as error:
            if await self.offline_draws.draw(account, draw, decision_log):
                return ProgramStage.UNKNOWN
            decision_log.info("Draw failed: {}", error)
            self.on_tokens("refused_unknown", max_generated_tokens)
            raise budget_unknown_refusal() from error
        account.drawn += result.tokens
        account.preferred_endpoint = result.preferred_endpoint
        self.on_tokens("drawn", result.tokens)
        # Turns that drew at the same time may have drawn more than they need.
        is_covered = account.available >= max_generated_tokens
        if result.tokens or is_covered or await self._reclaim_once(account):
            return result.stage
        raise self._refusal(account, draw, decision_log)

    def _refusal(
        self, account: Account, draw: DrawRequest, decision_log: "Logger"
    ) -> Refusal:
        """Return the answer to a turn for which the log gives nothing."""
        if self._may_be_left(account, draw):
            decision_log.info("It is not known what was drawn without the log.")
            self.on_tokens("refused_unknown", draw.max_generated_tokens)
            return budget_unknown_refusal()
        decision_log.info("The program's budget is spent.")
        self.on_tokens("refused_spent", draw.max_generated_tokens)
        return budget_spent_refusal()

    async def _draw_from_log(self, account: Account, draw: DrawRequest) -> DrawResult:
        """Draw what the log may hand out.

        That is the whole budget, less what is not recorded, once the program gets no
        more without the log.
        """
        result = await self.ledger.draw(draw)
        is_whole = draw.limit >= draw.budget
        if result.tokens or is_whole or not self._may_be_left(account, draw):
            return result
        unrecorded = await self.offline_draws.close(account)
        if unrecorded is None:
            return result
        return await self.ledger.draw(evolve(draw, limit=draw.budget - unrecorded))

    def _may_be_left(self, account: Account, draw: DrawRequest) -> bool:
        """Return whether the budget holds a draw, by the records in the log."""
        drawn = self.ledger.total_drawn(account.program)
        return drawn + draw.needed_tokens <= account.budget

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
                own = self.unrecorded.own_draw(account)
                await self.keepers.tell({account.program: own})
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

    def _forget_unused(self) -> None:
        """Forget the account that was unused for longest, if there are too many."""
        if len(self.accounts) <= MAX_ACCOUNTS:
            return
        for program, account in self.accounts.items():
            if not account.is_needed:
                del self.accounts[program]
                return

    def _get_account(self, program: str, budget: int) -> Account:
        account = self.accounts.get(program)
        if account is None:
            account = Account(program=program, budget=budget)
            self.accounts[program] = account
            self._forget_unused()
        self.accounts.move_to_end(program)
        account.last_used_at = self.clock.monotonic()
        account.budget = budget
        return account


def _request_for(
    account: Account, max_generated_tokens: int, suggested_endpoint: str
) -> DrawRequest:
    """Return what a turn asks of the ledger beyond what the account holds."""
    return DrawRequest(
        program=account.program,
        budget=account.budget,
        limit=log_limit(account.budget, max_generated_tokens),
        needed_tokens=max_generated_tokens - account.available,
        max_generated_tokens=max_generated_tokens,
        preferred_endpoint=account.preferred_endpoint,
        suggested_endpoint=suggested_endpoint,
    )
