"""How much slower batches are than on an idle searcher.

Load pattern: batches of different sizes with stragglers among them. The mean
of their durations is a poor signal, since it doubles when batches grow. So
each duration is divided by a baseline for its size class (the power of two).
The baseline falls quickly and rises slowly, so that it stays near the duration
on an idle searcher. A ratio is capped at four: a single straggler in a window
of twenty moves the mean by 0.15 instead of one half.
"""

_WINDOW_BATCHES = 20
_MAX_RATIO = 4.0
_FALL_WEIGHT = 0.1
_RISE_WEIGHT = 0.001
#: Avoids a division by zero when the clock did not advance between request and
#: reply.
_MIN_DURATION_S = 1e-6


class BatchSlowness:
    """Means of the slowdown ratios over windows of twenty batches."""

    __slots__ = ('_ratios', '_usual_s_by_size_class')

    def __init__(self) -> None:
        """Start without a baseline."""
        self._ratios: list[float] = []
        self._usual_s_by_size_class: dict[int, float] = {}

    def observe(self, size: int, duration_s: float) -> float:
        """Record a batch; return the mean ratio once a window is full, else 0.

        ``size`` is the number of sub-queries, ``duration_s`` is in seconds.
        """
        duration_s = max(_MIN_DURATION_S, duration_s)
        size_class = size.bit_length()
        usual_s = self._usual_s_by_size_class.get(size_class, duration_s)
        weight = _FALL_WEIGHT if duration_s < usual_s else _RISE_WEIGHT
        usual_s += weight * (duration_s - usual_s)
        self._usual_s_by_size_class[size_class] = usual_s
        self._ratios.append(min(_MAX_RATIO, duration_s / usual_s))
        if len(self._ratios) < _WINDOW_BATCHES:
            return 0
        return self._pop_mean()

    def reset(self) -> None:
        """Start a new window; the baselines stay."""
        self._ratios = []

    def _pop_mean(self) -> float:
        mean = sum(self._ratios) / len(self._ratios)
        self._ratios = []
        return mean
