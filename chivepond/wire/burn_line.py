"""One line of the report on service-level burn."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class BurnLine:
    """How fast one objective burns its budget, over a pair of windows.

    A rate of 1 spends the budget exactly in its period; the line fires
    when both windows are over ``threshold``. ``cause`` is what burned most
    in the long window, empty when nothing burned.
    """

    service: str
    objective: str
    short_s: int
    long_s: int
    short_rate: float
    long_rate: float
    threshold: float
    is_firing: bool
    requests: int
    cause: str = ''
