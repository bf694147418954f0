"""What one kind of work comes to on one node."""

import dataclasses

_US_PER_S = 1e6


@dataclasses.dataclass(slots=True, frozen=True)
class Share:
    """Work done so often a second, and the processor time of each."""

    work: str
    a_second: float
    cost_us: float

    @property
    def cores(self) -> float:
        """Return the share of one core, 1 for all of it."""
        return self.a_second * self.cost_us / _US_PER_S
