"""Rate limit on log lines per kind of event.

Load pattern: under overload or during a fault each request logs a rejection or
failure, thousands a second, and logging costs more than the requests. Each
kind of event has its own limit, so that a flood of one kind suppresses no
other. Suppressed lines are counted, and the next line reports their number.
"""

import dataclasses

#: Lines per second for failures, rejections and health changes, and for
#: ordinary successes. A line takes 60 us of a small host's core: forty lines a
#: second take a quarter of a percent of it.
NOTABLE_PER_S = 20
ORDINARY_PER_S = 2
#: Seconds of unused allowance that can accumulate.
_MAX_SAVED_S = 3


@dataclasses.dataclass(slots=True)
class _Allowance:
    left: float
    told_at: float
    left_out: int = 0


class LogLimit:
    """A token bucket for each event number."""

    __slots__ = ('_allowance_by_number',)

    def __init__(self) -> None:
        """Start with full buckets."""
        self._allowance_by_number: dict[int, _Allowance] = {}

    def take(self, number: int, per_s: float, now: float) -> int | None:
        """Return how many lines were suppressed before this one.

        Returns ``None`` if this line is to be suppressed as well. ``per_s`` is
        the rate of the event ``number``, ``now`` is in seconds.
        """
        max_lines = per_s * _MAX_SAVED_S
        allowance = self._allowance_by_number.get(number)
        if allowance is None:
            allowance = _Allowance(max_lines, now)
            self._allowance_by_number[number] = allowance
        earned_lines = (now - allowance.told_at) * per_s
        allowance.left = min(max_lines, allowance.left + earned_lines)
        allowance.told_at = now
        if allowance.left < 1:
            allowance.left_out += 1
            return None
        allowance.left -= 1
        left_out = allowance.left_out
        allowance.left_out = 0
        return left_out
