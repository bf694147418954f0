"""A searcher's health report."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class SearcherHealth:
    """State and load as reported; both may be out of date or wrong.

    ``state`` is ``ready``, ``cold`` or ``draining``.
    """

    state: str
    in_flight: int = 0
    slots: int = 0
    versions: list[int] = dataclasses.field(default_factory=list)
