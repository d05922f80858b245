"""Exponential back-off with full jitter."""

import random


class Backoff:
    """Waits that grow with each failure in a row, drawn with full jitter.

    Parameters
    ----------
    rng : random.Random
        Draws the waits.
    base_seconds, cap_seconds : float
        The ceiling of the first wait, and of any.
    """

    def __init__(
        self,
        rng: random.Random,
        base_seconds: float = 0.05,
        cap_seconds: float = 2.0,
    ) -> None:
        self.rng = rng
        self.base_seconds = base_seconds
        self.cap_seconds = cap_seconds
        self.failures = 0

    def reset(self) -> None:
        """Note a success."""
        self.failures = 0

    def next(self) -> float:
        """Note a failure and return the seconds to wait."""
        exponent = min(self.failures, 30)
        self.failures += 1
        ceiling = min(self.cap_seconds, self.base_seconds * 2**exponent)
        return self.rng.uniform(0.0, ceiling)
