"""The budget of a program: amounts spent, drawn and shared with sub-agents."""

from attrs import define, frozen

from eelgrasslock.programs.journal_records import ProgramLimits

NO_MONEY_LIMIT = 1e12
_MONEY_TOLERANCE = 1e-9


@frozen(order=False)
class Amount:
    """A number of tokens and their cost.

    Attributes
    ----------
    tokens : int
        Prompt and completion tokens.
    money : float
        Cost in the deployment's currency.
    """

    tokens: int = 0
    money: float = 0.0

    def __add__(self, other: "Amount") -> "Amount":
        return Amount(self.tokens + other.tokens, self.money + other.money)

    def __sub__(self, other: "Amount") -> "Amount":
        return Amount(self.tokens - other.tokens, self.money - other.money)

    def covers(self, other: "Amount") -> bool:
        """Return whether `other` fits into this amount."""
        money_fits = other.money <= self.money + _MONEY_TOLERANCE
        return other.tokens <= self.tokens and money_fits

    def at_most(self, other: "Amount") -> "Amount":
        """Return the smaller amount for tokens and money each."""
        return Amount(min(self.tokens, other.tokens), min(self.money, other.money))

    def at_least_zero(self) -> "Amount":
        """Return this amount with negative values replaced by zero."""
        return Amount(max(self.tokens, 0), max(self.money, 0.0))


ZERO = Amount()


@define(kw_only=True)
class BudgetLedger:
    """The budget of a program at one position in the journal.

    Attributes
    ----------
    limit : Amount
        The whole budget; its money is `NO_MONEY_LIMIT` without a money limit.
    spent : Amount
        Used by calls, forfeited by previous holders, or used by children.
    drawn : Amount
        Set aside for the current holder and not settled yet.
    shared : Amount
        Reserved for the budgets of children that have not ended.
    forfeited : Amount
        The part of `spent` that was forfeited; calls may not have used it.
    overdrawn : int
        Number of calls that used more than was drawn; 0 as long as
        reservations are worst cases.
    """

    limit: Amount
    spent: Amount = ZERO
    drawn: Amount = ZERO
    shared: Amount = ZERO
    forfeited: Amount = ZERO
    overdrawn: int = 0

    @classmethod
    def for_limits(cls, limits: ProgramLimits) -> "BudgetLedger":
        """Return the ledger of a new program with these limits."""
        return cls(limit=Amount(limits.tokens, limits.money or NO_MONEY_LIMIT))

    @property
    def remaining(self) -> Amount:
        """The amount that may still be drawn or shared."""
        return self.limit - self.spent - self.drawn - self.shared

    @property
    def parent_reservation(self) -> Amount:
        """The amount that the parent of this program reserves for it."""
        if self.limit.money == NO_MONEY_LIMIT:
            return Amount(self.limit.tokens)
        return self.limit

    def draw(self, amount: Amount) -> None:
        """Set an amount aside for the holder."""
        self.drawn += amount

    def settle(self, amount: Amount) -> None:
        """Move an amount that a call used from drawn to spent."""
        if not self.drawn.covers(amount):
            self.overdrawn += 1
        self.spent += amount
        self.drawn = (self.drawn - amount).at_least_zero()

    def return_unused(self, amount: Amount) -> None:
        """Return an unused part of the draw to the budget."""
        self.drawn = (self.drawn - amount).at_least_zero()

    def forfeit(self) -> None:
        """Count the whole draw as spent, since its actual use is not known."""
        self.spent += self.drawn
        self.forfeited += self.drawn
        self.drawn = ZERO

    def can_reserve_for_child(self, child: "BudgetLedger") -> bool:
        """Return whether the remaining budget covers a child's whole budget."""
        unbounded = child.limit.money == NO_MONEY_LIMIT
        if unbounded and self.limit.money != NO_MONEY_LIMIT:
            return False
        return self.remaining.covers(child.parent_reservation)

    def reserve_for_child(self, child: "BudgetLedger") -> None:
        """Reserve a child's whole budget."""
        self.shared += child.parent_reservation

    def release_child(self, child: "BudgetLedger") -> None:
        """Release the reservation of an ended child and add what it spent."""
        self.shared -= child.parent_reservation
        self.spent += child.spent
