"""A pair of windows of the burn report."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class BurnPair:
    """Two window lengths in seconds and the burn rate that fires."""

    short_s: int
    long_s: int
    threshold: float
