"""When to send a sub-query to a second replica.

Load pattern: stragglers, one sub-query in a hundred that takes ten times as
long. Without hedging a search over hundreds of shards nearly always waits for
one. The delay tracks a high quantile of the observed latencies by stochastic
approximation, which costs two additions per sample and needs no window. At the
95th percentile at most one sub-query in twenty is hedged, even before the
hedge budget applies.
"""

_QUANTILE = 0.95
_STEP_FRACTION = 0.05
_MIN_DELAY_S = 0.002


class HedgeDelay:
    """Tracks the latency above which a second attempt is worthwhile."""

    __slots__ = ('delay_s',)

    def __init__(self, initial_s: float) -> None:
        """Start at ``initial_s`` seconds until latencies are observed."""
        self.delay_s = initial_s

    def observe(self, latency_s: float) -> None:
        """Record the latency of a sub-query that got a reply, in seconds."""
        step = max(self.delay_s, _MIN_DELAY_S) * _STEP_FRACTION
        if latency_s > self.delay_s:
            self.delay_s += step * _QUANTILE
        else:
            self.delay_s -= step * (1 - _QUANTILE)
        self.delay_s = max(_MIN_DELAY_S, self.delay_s)
