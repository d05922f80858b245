"""Draws that were made without the log, until it holds them."""

import itertools
from collections.abc import Callable

from attrs import frozen
from loguru import logger

from eelgrasslock.allowances.account import Account
from eelgrasslock.allowances.callbacks import OnTokens
from eelgrasslock.allowances.draw_ledger import DrawLedger
from eelgrasslock.allowances.kept_draws import DrawKeeping, OfflineDraw
from eelgrasslock.clock import Clock

_log = logger.bind(part="allowances")


@frozen(kw_only=True)
class UnrecordedDraw:
    """Tokens that a program spent without the log, and that it does not hold yet.

    Attributes
    ----------
    program : str
        The program's id.
    budget : int
        Tokens that all turns of the program may generate.
    tokens : int
        How many tokens were spent.
    """

    program: str
    budget: int
    tokens: int


class UnrecordedDraws:
    """Records draws that were made without the log, and tells the keepers of them.

    Parameters
    ----------
    accounts : dict of str to Account
        The accounts of this daemon by program.
    get_account : callable
        Returns the account of a program with a budget, a new one if there is none.
    ledger : DrawLedger
        Records draws.
    keepers : DrawKeeping
        The daemons that keep what this one draws.
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
        keepers: DrawKeeping,
        clock: Clock,
        on_tokens: OnTokens,
    ) -> None:
        self.accounts = accounts
        self.get_account = get_account
        self.ledger = ledger
        self.keepers = keepers
        self.sequences = itertools.count(1)
        self.clock = clock
        self.on_tokens = on_tokens

    def usage(self, program: str) -> tuple[int, int]:
        """Return tokens spent here without the log, and those drawn by all.

        Daemons of builds that draw without keepers ask for it.
        """
        account = self.accounts.get(program)
        drawn = self.ledger.total_drawn(program)
        if account is None:
            return 0, drawn
        account.drop_unused_offline()
        return account.offline_drawn + account.offline_pending, drawn

    def own_draw(self, account: Account) -> OfflineDraw:
        """Return what the keepers are told of an account."""
        account.told = (account.offline_tokens, account.offline_recorded)
        return self._make_draw(account)

    def needed_draw(self, program: str) -> OfflineDraw | None:
        """Give up what is not needed now, for a daemon that needs tokens.

        Return what is left, or None if this daemon has drawn nothing.
        """
        account = self.accounts.get(program)
        if account is None or not account.told[0]:
            return None
        account.drop_unused_offline()
        return self._make_draw(account)

    def _make_draw(self, account: Account) -> OfflineDraw:
        return OfflineDraw(
            holder=self.ledger.holder,
            sequence=next(self.sequences),
            tokens=account.offline_tokens,
            recorded=account.offline_recorded,
        )

    def adopt(self, draw: UnrecordedDraw) -> None:
        """Take over a draw of a daemon that stops; it is recorded as an own one."""
        account = self.get_account(draw.program, draw.budget)
        account.adopt(draw.tokens, self.clock.monotonic())
        self.on_tokens("adopted", draw.tokens)
        _log.bind(program=draw.program, offline_tokens=draw.tokens).info(
            "Took over {} tokens that a stopping daemon drew without the log.",
            draw.tokens,
        )

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
            account.note_recorded(tokens)
            _log.bind(program=account.program).info(
                "Recorded {} tokens that were drawn without the log.", tokens
            )

    async def tell_less(self) -> None:
        """Tell the keepers of draws that were recorded, refused or given up."""
        accounts = {
            account.program: account
            for account in self.accounts.values()
            if account.has_less_to_tell
        }
        if not accounts:
            return
        draws = {program: self._make_draw(one) for program, one in accounts.items()}
        for program in await self.keepers.tell(draws):
            draw = draws[program]
            accounts[program].told = (draw.tokens, draw.recorded)
