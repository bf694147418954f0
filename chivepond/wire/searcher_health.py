"""What a searcher says of itself."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class SearcherHealth:
    """State and load of a searcher; both lag and may mislead.

    ``state`` is ``ready``, ``cold`` or ``draining``.
    """

    state: str
    in_flight: int = 0
    slots: int = 0
    versions: list[int] = dataclasses.field(default_factory=list)
