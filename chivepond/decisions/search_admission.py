"""How many searches are admitted while the searchers' queues are long.

Load pattern: clients send three or four times their usual rate for some
seconds. Every search needs a part from every shard, so all queues grow at
once, each search waits behind the ones before it, and all of them are late
instead of some. Rejecting some at once, with a retry delay, keeps the others
in time. Slow or dead searchers are no reason to reject searches: that makes
the searchers no faster, and a late response is better than none. So both
signals are required: late responses, and queues at most shards.
"""

#: Weight of a new search in the averages; they cover about five searches.
_SAMPLE_WEIGHT = 0.2
#: The admitted share shrinks when fewer searches than this are in time and
#: more shards than this have queues. One slow pair of searchers in thirty is a
#: share of 0.03; two sets of slow searchers reached 0.27 of the shards.
_MIN_ON_TIME_SHARE = 0.7
_MAX_QUEUED_SHARE = 0.4
#: How the admitted share shrinks and grows with each search. Four late
#: searches halve it; it is back at 1 about fifty searches after the overload.
#: At three and four times the usual load the worst seconds keep 0.56 of the
#: worth of the responses (0.27 without admission control).
_SHRINK_FACTOR = 0.85
_GROWTH_STEP = 0.01
#: Minimum admitted share: the admitted searches show when the overload ends.
_MIN_SHARE = 0.3


class SearchAdmission:
    """Learns from admitted searches; spreads rejections evenly."""

    __slots__ = ('_credit', '_on_time_share', '_queued_share', 'share')

    def __init__(self) -> None:
        """Start by admitting all searches."""
        self._on_time_share: float = 1
        self._queued_share: float = 0
        self._credit: float = 0
        #: The share of searches that is admitted.
        self.share: float = 1

    def admit(self) -> bool:
        """Tell whether the next search is admitted."""
        self._credit += self.share
        if self._credit < 1:
            return False
        self._credit -= 1
        return True

    def learn(self, queued_share: float, *, is_on_time: bool) -> None:
        """Record the outcome of an admitted search.

        ``queued_share`` is the share of its shards with a long queue, 0 to 1.
        """
        self._on_time_share += _SAMPLE_WEIGHT * (
            int(is_on_time) - self._on_time_share
        )
        self._queued_share += _SAMPLE_WEIGHT * (
            queued_share - self._queued_share
        )
        is_late = self._on_time_share < _MIN_ON_TIME_SHARE
        if is_late and self._queued_share > _MAX_QUEUED_SHARE:
            self.share = max(_MIN_SHARE, self.share * _SHRINK_FACTOR)
        else:
            self.share = min(1, self.share + _GROWTH_STEP)
