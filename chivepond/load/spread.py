"""The spread of one figure of one variant over its runs."""

import dataclasses
import statistics
from collections.abc import Sequence
from typing import Self


@dataclasses.dataclass(slots=True, frozen=True)
class Spread:
    """Median, minimum and maximum; ``ratio`` is to the baseline's median."""

    median: float
    low: float
    high: float
    ratio: float | None

    @classmethod
    def of(cls, figures: Sequence[float], baseline: Sequence[float]) -> Self:
        """Return the spread of ``figures``.

        The ratio is None for the baseline itself, and when the baseline's
        median is zero.
        """
        median = statistics.median(figures)
        baseline_median = statistics.median(baseline)
        ratio = (
            median / baseline_median
            if baseline_median and figures is not baseline
            else None
        )
        return cls(median, min(figures), max(figures), ratio)
