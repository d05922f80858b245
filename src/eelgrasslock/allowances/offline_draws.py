"""Draws without the log, as far as their keepers allow them."""

from typing import TYPE_CHECKING

from eelgrasslock.allowances.account import Account
from eelgrasslock.allowances.callbacks import OnTokens
from eelgrasslock.allowances.draw_ledger import DrawLedger
from eelgrasslock.allowances.draw_request import DrawRequest
from eelgrasslock.allowances.kept_draws import DrawKeeping, KeptProgram
from eelgrasslock.allowances.offline import offline_limit
from eelgrasslock.allowances.unrecorded_draws import UnrecordedDraws

if TYPE_CHECKING:
    from loguru import Logger


class OfflineDraws:
    """Adds tokens to accounts without the log, and ends that for a program.

    Parameters
    ----------
    unrecorded : UnrecordedDraws
        Makes the words to the keepers.
    ledger : DrawLedger
        Knows what was drawn from the log.
    keepers : DrawKeeping
        The daemons that keep what is drawn without it.
    on_tokens : callable
        Called with an action and a number of tokens.
    """

    def __init__(
        self,
        unrecorded: UnrecordedDraws,
        ledger: DrawLedger,
        keepers: DrawKeeping,
        on_tokens: OnTokens,
    ) -> None:
        self.unrecorded = unrecorded
        self.ledger = ledger
        self.keepers = keepers
        self.on_tokens = on_tokens

    async def draw(
        self, account: Account, draw: DrawRequest, decision_log: "Logger"
    ) -> bool:
        """Add tokens without the log, if what the keepers know allows it.

        The tokens count as pending before the keepers are told, so that two
        daemons that draw at once see each other's tokens.
        """
        tokens = draw.needed_tokens
        account.offline_pending += tokens
        try:
            own = self.unrecorded.own_draw(account)
            kept = await self.keepers.draw(account.program, own)
            if kept is None:
                return False
            remaining = await self._remaining(account, kept, draw)
        finally:
            account.offline_pending -= tokens
        decision_log = decision_log.bind(
            kept={one.holder: one.tokens for one in kept.draws.values()},
            closed=kept.is_closed,
        )
        if kept.is_closed or remaining < 0:
            decision_log.info("The share without the log is used up.")
            return False
        account.offline_drawn += tokens
        account.drawn += tokens
        self.on_tokens("offline", tokens)
        decision_log.bind(offline_tokens=tokens).info(
            "Drew {} tokens without the log, {} of the offline share are left.",
            tokens,
            remaining,
        )
        return True

    async def close(self, account: Account) -> int | None:
        """Let a program get no more tokens without the log.

        Return those that it got so and that the log does not hold yet, or None if
        the keepers can't tell.
        """
        own = self.unrecorded.own_draw(account)
        kept = await self.keepers.close(account.program, own)
        return None if kept is None else kept.unrecorded

    async def _remaining(
        self, account: Account, kept: KeptProgram, draw: DrawRequest
    ) -> int:
        """Return what is left of the offline share, negative if it is exceeded.

        Other holders are asked to give up what they do not need before that.
        """
        drawn = self.ledger.total_drawn(account.program)
        limit = offline_limit(draw.budget, draw.max_generated_tokens)
        limit = min(limit, draw.budget - drawn)
        if kept.tokens > limit and not kept.is_closed:
            await self.keepers.ask_holders(account.program, kept)
        return limit - kept.tokens
