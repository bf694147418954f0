"""A violated guarantee."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Violation:
    """A violated guarantee, what was observed, and seconds since start."""

    guarantee: str
    observed: str
    at_s: float
