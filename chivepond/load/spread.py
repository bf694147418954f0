"""One figure of one variant over its runs."""

import dataclasses
import statistics
from collections.abc import Sequence
from typing import Self


@dataclasses.dataclass(slots=True, frozen=True)
class Spread:
    """Median, least and most; ``ratio`` is to another variant's median."""

    median: float
    low: float
    high: float
    ratio: float | None

    @classmethod
    def of(cls, seen: Sequence[float], against: Sequence[float]) -> Self:
        """Return the spread of ``seen``; no ratio where there is nothing."""
        median = statistics.median(seen)
        base = statistics.median(against)
        ratio = median / base if base and seen is not against else None
        return cls(median, min(seen), max(seen), ratio)
