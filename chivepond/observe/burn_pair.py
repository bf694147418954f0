"""A pair of windows of the report on burn."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class BurnPair:
    """Lengths in seconds, and the burn rate from which it fires."""

    short_s: int
    long_s: int
    threshold: float
