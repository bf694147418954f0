"""A straight line through measured points."""

import dataclasses
import statistics
from collections.abc import Sequence


@dataclasses.dataclass(slots=True, frozen=True)
class Slope:
    """``cost = fixed + per_unit * size``, in the unit of the cost."""

    fixed: float
    per_unit: float

    def at(self, size: float) -> float:
        """Return the cost that the line gives at ``size``."""
        return self.fixed + self.per_unit * size


def through(sizes: Sequence[float], costs: Sequence[float]) -> Slope:
    """Return the line of least squares through at least two sizes."""
    fitted = statistics.linear_regression(sizes, costs)
    return Slope(fixed=fitted.intercept, per_unit=fitted.slope)
