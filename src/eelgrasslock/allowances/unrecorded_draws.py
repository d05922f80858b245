"""Draws that were made without the log, until it holds them."""

from collections.abc import Callable

from loguru import logger

from eelgrasslock.allowances.account import Account
from eelgrasslock.allowances.callbacks import OnTokens
from eelgrasslock.allowances.draw_ledger import DrawLedger
from eelgrasslock.allowances.offline import UnrecordedDraw
from eelgrasslock.clock import Clock

_log = logger.bind(part="allowances")


class UnrecordedDraws:
    """Tells peers of draws that are not recorded, and records or hands them over.

    Parameters
    ----------
    accounts : dict of str to Account
        The accounts of this daemon by program.
    get_account : callable
        Returns the account of a program with a budget, a new one if there is none.
    ledger : DrawLedger
        Records draws.
    clock : Clock
        The time.
    on_tokens : callable
        Called with an action and a number of tokens.
    """

    def __init__(
        self,
        accounts: dict[str, Account],
        get_account: Callable[[str, int], Account],
        ledger: DrawLedger,
        clock: Clock,
        on_tokens: OnTokens,
    ) -> None:
        self.accounts = accounts
        self.get_account = get_account
        self.ledger = ledger
        self.clock = clock
        self.on_tokens = on_tokens

    def usage(self, program: str) -> tuple[int, int]:
        """Return tokens spent here without the log, and those drawn by all.

        Unspent offline tokens are dropped, since the querying peer needs some now.
        """
        account = self.accounts.get(program)
        if account is None:
            return 0, self.ledger.total_drawn(program)
        account.drop_unused_offline()
        return account.offline_drawn + account.offline_pending, self.ledger.total_drawn(
            program
        )

    def all(self) -> list[UnrecordedDraw]:
        """Return what was spent without the log and is not recorded yet."""
        for account in self.accounts.values():
            account.drop_unused_offline()
        return [
            UnrecordedDraw(
                program=account.program,
                budget=account.budget,
                tokens=account.offline_drawn,
            )
            for account in self.accounts.values()
            if account.offline_drawn
        ]

    def adopt(self, draw: UnrecordedDraw) -> None:
        """Take over a draw of a daemon that stops; it is recorded as an own one."""
        account = self.get_account(draw.program, draw.budget)
        account.adopt(draw.tokens, self.clock.monotonic())
        self.on_tokens("adopted", draw.tokens)
        _log.bind(program=draw.program, offline_tokens=draw.tokens).info(
            "Took over {} tokens that a stopping daemon drew without the log.",
            draw.tokens,
        )

    def forget(self, draw: UnrecordedDraw) -> None:
        """Note that another daemon records a draw."""
        account = self.accounts.get(draw.program)
        if account is not None:
            account.offline_drawn = max(0, account.offline_drawn - draw.tokens)

    async def record(self) -> None:
        """Record the tokens that were drawn without the log.

        Raises
        ------
        LogUnavailable, AppendUnresolved
            If an append failed; the rest is retried later. An append of unknown
            outcome is repeated: tokens may count twice, but never not at all.
        """
        for account in list(self.accounts.values()):
            tokens = account.offline_drawn
            if not tokens:
                continue
            await self.ledger.record_draw(account.program, tokens)
            account.offline_drawn = max(0, account.offline_drawn - tokens)
            _log.bind(program=account.program).info(
                "Recorded {} tokens that were drawn without the log.", tokens
            )
