"""Retry budget that bounds retries to a share of first attempts."""

from dataclasses import dataclass


@dataclass(slots=True)
class RetryBudget:
    """Tokens earned by first attempts and spent by retries.

    >>> budget = RetryBudget(ratio=0.5, burst=1)
    >>> budget.spend(), budget.spend()
    (True, False)
    >>> budget.earn(); budget.earn(); budget.spend()
    True
    """

    ratio: float
    burst: int
    balance: float = -1.0

    def __post_init__(self) -> None:
        if self.balance < 0:
            self.balance = float(self.burst)

    def earn(self) -> None:
        """Credit a first attempt."""
        self.balance = min(float(self.burst), self.balance + self.ratio)

    def spend(self) -> bool:
        """Take one retry from the budget; return False if none is left."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True
