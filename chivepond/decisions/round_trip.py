"""Estimates the round-trip time to another gateway.

Load pattern: a search is split into groups, and each other gateway has to
reply in time for the answer here. If the estimate is too low, its reply
arrives after the answer was due and a whole group is lost; if it is too high,
the reply leaves out parts that were still arriving. The round-trip time
differs between data centres and varies by some milliseconds between exchanges.
"""

#: Estimate before the first exchange, in seconds: a round trip between regions
#: including the wake-ups of both sides.
_INITIAL_S = 0.03
#: Weights of a new exchange in the mean and in the deviation, and how many
#: deviations are added to the mean. Two deviations cover 19 of 20 exchanges
#: that are distributed evenly around their mean.
_MEAN_WEIGHT = 0.125
_DEVIATION_WEIGHT = 0.25
_DEVIATIONS = 2.0
#: The initial deviation, as a share of the first exchange.
_INITIAL_DEVIATION_SHARE = 0.15


class RoundTrip:
    """Learns from exchanges, without the other side's processing time."""

    __slots__ = ('_deviation_s', '_is_first', '_mean_s')

    def __init__(self) -> None:
        """Start at a usual round-trip time between regions."""
        self._mean_s = _INITIAL_S
        self._deviation_s: float = 0
        self._is_first = True

    @property
    def upper_estimate_s(self) -> float:
        """The time that few exchanges exceed, in seconds."""
        return self._mean_s + _DEVIATIONS * self._deviation_s

    def learn(self, duration_s: float) -> None:
        """Record the duration of one exchange, in seconds.

        The first one replaces the initial estimate, which gateways with few
        searches would otherwise use for minutes.
        """
        if self._is_first:
            self._is_first = False
            self._mean_s = duration_s
            self._deviation_s = _INITIAL_DEVIATION_SHARE * duration_s
            return
        error_s = duration_s - self._mean_s
        self._mean_s += _MEAN_WEIGHT * error_s
        self._deviation_s += _DEVIATION_WEIGHT * (
            abs(error_s) - self._deviation_s
        )
