"""How much work a searcher gets while it warms up.

Load pattern: a searcher returns, cold or after an ejection, with an empty
queue and no measured latency. Without slow start it looks like by far the best
replica, gets all the work, and is overloaded again. Its weight rises linearly
from a tenth to one within five seconds: a tenth is enough to measure its
latency, and five seconds are many rounds of a cache that is filled by the work
itself.
"""

_INITIAL_WEIGHT = 0.1
_WARM_UP_S = 5.0


def weight(warm_since: float, now: float) -> float:
    """Return the weight, 0.1 to 1; times are seconds of one clock."""
    share = min(1, max(0, now - warm_since) / _WARM_UP_S)
    return _INITIAL_WEIGHT + (1 - _INITIAL_WEIGHT) * share


def is_warm(warm_since: float, now: float) -> bool:
    """Tell whether the weight has reached one."""
    return now - warm_since >= _WARM_UP_S
