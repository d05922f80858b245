"""The account of a program's tokens at this daemon."""

import asyncio

from attrs import define, field, frozen

from eelgrasslock.scheduling.load_shedding import ProgramStage


@define(eq=False)
class Account:
    """Tokens that this daemon may spend on a program, and those it has spent.

    Attributes
    ----------
    program : str
        The program's id.
    budget : int
        Tokens that all turns of the program may generate, as its requests state.
    drawn : int
        Tokens that this daemon has drawn from the budget.
    spent : int
        Tokens that finished turns have used.
    reserved : int
        Tokens reserved for turns in flight, each at its maximum.
    offline_drawn : int
        Tokens that were added to `drawn` while the log was unavailable, and are
        not recorded in it yet.
    offline_pending : int
        Tokens to be added to `offline_drawn`, while the keepers are asked.
    offline_recorded : int
        Tokens without the log that were recorded since.
    told : tuple of int
        The `offline_tokens` and `offline_recorded` that the keepers were told last.
    preferred_endpoint : str
        The engine that holds the program's context, empty if none is known.
    session : str
        The session whose turns set `preferred_endpoint`.
    last_used_at : float
        When a turn was last requested, started or ended, on the monotonic clock.
    last_reclaim_at : float
        When peers were last asked to release unspent tokens, on the monotonic
        clock.
    """

    program: str
    budget: int
    drawn: int = 0
    spent: int = 0
    reserved: int = 0
    offline_drawn: int = 0
    offline_pending: int = 0
    offline_recorded: int = 0
    told: tuple[int, int] = (0, 0)
    preferred_endpoint: str = ""
    session: str = ""
    last_used_at: float = 0.0
    last_reclaim_at: float = float("-inf")
    _settled: asyncio.Event = field(factory=asyncio.Event)

    @property
    def available(self) -> int:
        """Tokens that can be reserved without another draw."""
        return self.drawn - self.spent - self.reserved

    @property
    def offline_tokens(self) -> int:
        """All tokens without the log, also those that are asked for."""
        return self.offline_recorded + self.offline_drawn + self.offline_pending

    @property
    def has_less_to_tell(self) -> bool:
        """Whether the keepers still count tokens that were given up or recorded."""
        tokens, recorded = self.told
        return tokens > self.offline_tokens or recorded < min(
            tokens, self.offline_recorded
        )

    @property
    def is_idle(self) -> bool:
        """Whether no tokens are reserved, pending or missing from the log."""
        return not (self.reserved or self.offline_pending or self.offline_drawn)

    @property
    def is_needed(self) -> bool:
        """Whether nobody else knows what this account holds."""
        return not self.is_idle or bool(self.offline_recorded)

    def drop_unused_offline(self) -> None:
        """Drop the tokens that were drawn without the log and are not needed."""
        unused = max(0, min(self.offline_drawn, self.available))
        self.offline_drawn -= unused
        self.drawn -= unused

    def note_recorded(self, tokens: int) -> None:
        """Note that the log holds tokens that were drawn without it."""
        recorded = min(tokens, self.offline_drawn)
        self.offline_drawn -= recorded
        self.offline_recorded += recorded

    def adopt(self, tokens: int, now: float) -> None:
        """Take over tokens that another daemon spent without the log."""
        self.drawn += tokens
        self.spent += tokens
        self.offline_drawn += tokens
        self.last_used_at = now

    def reserve(self, tokens: int, now: float) -> None:
        """Reserve the most tokens that a turn may generate."""
        self.reserved += tokens
        self.last_used_at = now

    def record_endpoint(self, endpoint: str, session: str) -> None:
        """Record where a turn ran; only the first session sets the endpoint."""
        self.session = self.session or session
        if session == self.session:
            self.preferred_endpoint = endpoint

    def settle(self, reserved: int, used: int, now: float) -> None:
        """Replace a turn's reservation by the tokens that it used."""
        self.reserved -= reserved
        self.spent += used
        self.last_used_at = now
        self._settled.set()

    async def wait_until_settled(self) -> None:
        """Wait until a turn in flight ends."""
        self._settled.clear()
        await self._settled.wait()


@frozen(kw_only=True)
class Reservation:
    """The most tokens that a turn may generate, reserved until it ends.

    Attributes
    ----------
    account : Account
        The program's account.
    tokens : int
        Tokens that are reserved.
    stage : ProgramStage
        What was known of the program before this turn.
    """

    account: Account
    tokens: int
    stage: ProgramStage = ProgramStage.UNKNOWN
