"""The index version that an answer is drawn from."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Snapshot:
    """One version of one index."""

    index: str
    version: int
