"""Retry delays (``Retry-After``) for rejected requests.

Load pattern: a burst is rejected and all callers retry. With a fixed delay
they all retry at the same moment and the burst repeats. So the delay is drawn
uniformly from a range, and the range grows with the overload: at three times
the capacity, the rejected requests need three times as long to be admitted one
after another.

The overload is the offered load divided by the admitted load. It is derived
from the rejected share, smoothed over about 100 requests: enough to ignore
single rejections, few enough to follow a burst within a fraction of a second
at any relevant load.
"""

import random

_BASE_DELAY_S = 0.2
_MAX_DELAY_S = 30
_SMOOTHING_WEIGHT = 0.01
_MAX_REFUSED_SHARE = 0.98
_JITTER_LOW = 0.5
_JITTER_HIGH = 1.5
_MS_PER_S = 1000


class ComeBack:
    """Estimates the overload and draws retry delays."""

    __slots__ = ('_random', '_refused_share')

    def __init__(self, rng: random.Random) -> None:
        """Start without overload; ``rng`` draws the delays."""
        self._random = rng
        self._refused_share = float(0)

    def admitted(self) -> None:
        """Record an admitted request."""
        self._refused_share -= _SMOOTHING_WEIGHT * self._refused_share

    def refused_ms(self) -> int:
        """Record a rejection; return the retry delay in milliseconds."""
        self._refused_share += _SMOOTHING_WEIGHT * (1 - self._refused_share)
        admitted_share = 1 - min(self._refused_share, _MAX_REFUSED_SHARE)
        mean_delay_s = _BASE_DELAY_S / admitted_share
        delay_s = mean_delay_s * self._random.uniform(_JITTER_LOW, _JITTER_HIGH)
        return round(min(delay_s, _MAX_DELAY_S) * _MS_PER_S)
