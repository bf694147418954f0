"""A promise that an answer broke."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Violation:
    """Which promise, and what was seen; ``at_s`` counts from the start."""

    promise: str
    seen: str
    at_s: float
