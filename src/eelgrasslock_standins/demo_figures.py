"""What the demo counts and prints."""

import collections
import statistics

from attrs import define, field

_PERCENTILES = (50, 95, 99)


@define
class DemoFigures:
    """The figures of one run of the demo.

    Attributes
    ----------
    finished, turns, retries : int
        Programs that ended well, turns served, and calls made again.
    turn_seconds : list of float
        How long each turn took, retries included.
    program_seconds : list of float
        How long each program took.
    reused_tokens, cached_tokens : int
        Prompt tokens that an earlier turn of the same program had already had,
        and the part of them that came from a prefix cache.
    actions : list of str
        The action ids of postings that were answered.
    failures : list of str
        What went wrong for good.
    """

    finished: int = 0
    turns: int = 0
    retries: int = 0
    turn_seconds: list[float] = field(factory=list)
    program_seconds: list[float] = field(factory=list)
    reused_tokens: int = 0
    cached_tokens: int = 0
    actions: list[str] = field(factory=list)
    failures: list[str] = field(factory=list)

    def show_progress(self, programs: int) -> None:
        """Print one line on how far the run is."""
        print(
            f"demo: {self.finished}/{programs} programs finished, "
            f"{self.turns} turns, {len(self.actions)} postings, "
            f"{self.retries} calls made again",
            flush=True,
        )

    def show(self, programs: int, seconds: float, posted: list[str]) -> bool:
        """Print the figures, and return whether all is as it should be."""
        counts = collections.Counter(posted)
        once = sum(1 for action in self.actions if counts[action] == 1)
        exact = counts == collections.Counter(self.actions)
        wasted = max(0, self.reused_tokens - self.cached_tokens)
        share = wasted / self.reused_tokens if self.reused_tokens else 0.0
        for failure in self.failures:
            print(f"  failed: {failure}")
        print(f"  programs finished   {self.finished} of {programs}")
        print(f"  turns served        {self.turns} in {seconds:.1f} s")
        print(f"  calls made again    {self.retries}")
        print(
            f"  wasted cache        {wasted} of {self.reused_tokens} tokens, ", end=""
        )
        print(f"{share:.1%}")
        print(f"  turn latency        {_spread(self.turn_seconds)}")
        print(f"  program latency     {_spread(self.program_seconds)}")
        print(f"  postings made       {len(posted)}, {once} of them exactly once")
        return self.finished == programs and exact and not self.failures


def _spread(seconds: list[float]) -> str:
    if len(seconds) < 2:
        return "not measured"
    cuts = statistics.quantiles(seconds, n=100, method="inclusive")
    return ", ".join(f"p{one} {cuts[one - 1]:.2f} s" for one in _PERCENTILES)
