"""How fast a searcher works through its queue.

Load pattern: a queue whose waiting time is unknown. By length alone a hundred
sub-queries of a fast searcher look like a hundred of a slow one, so work is
refused that would finish in time, or accepted although it cannot. The time per
sub-query, the duration of a batch divided by its size, is smoothed over about
twenty batches: few enough to follow a batch size that grows with the load
before a queue counts as standing, and enough that one straggler causes no
refusals (a smoothing weight of 0.2 instead of 0.05 raised the 99th percentile
of refusals at three times the capacity from 18 to 30 ms;
docs/design/queueing.md has the figures).
"""

_SMOOTHING_WEIGHT = 0.05


class WorkRate:
    """Smooths the time that one slot needs for one sub-query."""

    __slots__ = ('_sub_query_s',)

    def __init__(self) -> None:
        """Start without a sample; the estimate is 0 until then."""
        self._sub_query_s = float(0)

    def observe(self, size: int, duration_s: float) -> None:
        """Record that a batch of ``size`` took a slot for ``duration_s``."""
        sub_query_s = duration_s / size
        if self._sub_query_s:
            sub_query_s = self._sub_query_s + _SMOOTHING_WEIGHT * (
                sub_query_s - self._sub_query_s
            )
        self._sub_query_s = sub_query_s

    def each_s(self, slots: int) -> float:
        """Return seconds between two finished sub-queries; 0 if unknown."""
        return self._sub_query_s / slots
