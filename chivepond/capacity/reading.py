"""What one probe measured."""

import dataclasses

from chivepond.capacity import slope


@dataclasses.dataclass(slots=True, frozen=True)
class Reading:
    """A cost at each size of what it grows with.

    ``grows_with`` names the size, ``unit`` that of the costs.
    """

    name: str
    grows_with: str
    unit: str
    sizes: list[int]
    costs: list[float]

    def slope(self) -> slope.Slope:
        """Return the line through the points."""
        return slope.through(self.sizes, self.costs)
