"""A program's budget: what is spent, drawn and shared out of its limits."""

from attrs import define, frozen

from eelgrasslock.programs.journal_records import ProgramLimits

NO_MONEY_LIMIT = 1e12
_MONEY_ROUNDING = 1e-9


@frozen(order=False)
class Amount:
    """Tokens and the money that they cost.

    Attributes
    ----------
    tokens : int
        Prompt and completion tokens.
    money : float
        In the deployment's currency.
    """

    tokens: int = 0
    money: float = 0.0

    def __add__(self, other: "Amount") -> "Amount":
        return Amount(self.tokens + other.tokens, self.money + other.money)

    def __sub__(self, other: "Amount") -> "Amount":
        return Amount(self.tokens - other.tokens, self.money - other.money)

    def covers(self, other: "Amount") -> bool:
        """Return whether `other` fits into this amount."""
        money_fits = other.money <= self.money + _MONEY_ROUNDING
        return other.tokens <= self.tokens and money_fits

    def at_most(self, other: "Amount") -> "Amount":
        """Return the smaller of both, part by part."""
        return Amount(min(self.tokens, other.tokens), min(self.money, other.money))

    def at_least_zero(self) -> "Amount":
        """Return this amount with negative parts set to zero."""
        return Amount(max(self.tokens, 0), max(self.money, 0.0))


ZERO = Amount()


@define(kw_only=True)
class BudgetLedger:
    """A program's budget at one place in the journal.

    Attributes
    ----------
    limit : Amount
        The whole budget; `NO_MONEY_LIMIT` where no money limit is set.
    spent : Amount
        Used by calls, forfeited by former holders, or used up by children.
    drawn : Amount
        Drawn by the present holder and not settled yet.
    shared : Amount
        The budgets of children that have not ended.
    forfeited : Amount
        The part of `spent` that no call is known to have used.
    overdrawn : int
        How often a call used more than was drawn; stays 0 if reservations
        are worst cases.
    """

    limit: Amount
    spent: Amount = ZERO
    drawn: Amount = ZERO
    shared: Amount = ZERO
    forfeited: Amount = ZERO
    overdrawn: int = 0

    @classmethod
    def for_limits(cls, limits: ProgramLimits) -> "BudgetLedger":
        """Return the untouched ledger of a program with these limits."""
        return cls(limit=Amount(limits.tokens, limits.money or NO_MONEY_LIMIT))

    @property
    def remaining(self) -> Amount:
        """What may still be drawn or shared."""
        return self.limit - self.spent - self.drawn - self.shared

    @property
    def parent_reservation(self) -> Amount:
        """What a child's whole budget takes out of its parent's."""
        if self.limit.money == NO_MONEY_LIMIT:
            return Amount(self.limit.tokens)
        return self.limit

    def draw(self, amount: Amount) -> None:
        """Set an amount aside for the holder."""
        self.drawn += amount

    def settle(self, amount: Amount) -> None:
        """Turn part of the draw into use."""
        if not self.drawn.covers(amount):
            self.overdrawn += 1
        self.spent += amount
        self.drawn = (self.drawn - amount).at_least_zero()

    def return_unused(self, amount: Amount) -> None:
        """Return an unused part of the draw."""
        self.drawn = (self.drawn - amount).at_least_zero()

    def forfeit(self) -> None:
        """Count the whole draw as spent, since nobody knows its use."""
        self.spent += self.drawn
        self.forfeited += self.drawn
        self.drawn = ZERO

    def can_reserve_for_child(self, child: "BudgetLedger") -> bool:
        """Return whether a child's whole budget can be set aside."""
        unbounded = child.limit.money == NO_MONEY_LIMIT
        if unbounded and self.limit.money != NO_MONEY_LIMIT:
            return False
        return self.remaining.covers(child.parent_reservation)

    def reserve_for_child(self, child: "BudgetLedger") -> None:
        """Set a child's whole budget aside."""
        self.shared += child.parent_reservation

    def release_child(self, child: "BudgetLedger") -> None:
        """Take an ended child's budget back, but for what it used."""
        self.shared -= child.parent_reservation
        self.spent += child.spent
