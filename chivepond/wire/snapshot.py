"""The index version that a search response is based on."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Snapshot:
    """One version of one index."""

    index: str
    version: int
