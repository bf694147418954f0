"""One line of the report on error budget burn rates."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class BurnLine:
    """Burn rates of one objective over a short and a long window.

    A rate of 1 uses up the error budget exactly at the end of its period. The
    alert fires when the rates of both windows exceed ``threshold``. ``cause``
    is the most frequent cause of misses in the long window, empty if there
    were none. Windows are in seconds.
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
