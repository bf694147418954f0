"""How many searches a node carries at once.

Load pattern: saturation. Without a limit every search is let in, each waits
longer, and in the end all miss their deadlines while the searchers are busy
with work that nobody wants any more.

The limit is learned by additive increase and multiplicative decrease. What
speaks of overload is the share of shards that owners shed because their
queues stood; a late shard does not, since a slow or lost searcher makes
shards late at any load and fewer searches would not mend it. A quarter is
asked for, so that one searcher in trouble does not shrink the whole node. A
decrease comes at most once in ``_EPOCH_S``, the time that a standing queue
takes to show, as all searches in flight tell of the same overload. The
limit rises only while it is in use, or a quiet night would lift it beyond
all bounds. The floor keeps a node of use when its signal misleads it.
"""

_INITIAL = 256
_FLOOR = 16
_CEILING = 4096
_DECREASE = 0.8
_EPOCH_S = 0.1
_OVERLOAD_SHARE = 0.25
_IN_USE_SHARE = 0.5


class AdmissionLimit:
    """Follows what the searchers carry; times are seconds of one clock."""

    __slots__ = ('_decreased_at', '_exact')

    def __init__(self, initial: float = _INITIAL) -> None:
        """Start at ``initial`` searches at once."""
        self._exact = float(initial)
        self._decreased_at = -_EPOCH_S

    @property
    def current(self) -> int:
        """The number of searches let in at once."""
        return int(self._exact)

    def finished(self, shed_share: float, in_flight: int, now: float) -> None:
        """Take the end of a search, and the share of its shards shed."""
        if shed_share > _OVERLOAD_SHARE:
            self._decrease(now)
        elif in_flight > self._exact * _IN_USE_SHARE and not shed_share:
            self._exact = min(_CEILING, self._exact + 1 / self._exact)

    def _decrease(self, now: float) -> None:
        if now - self._decreased_at >= _EPOCH_S:
            self._exact = max(_FLOOR, self._exact * _DECREASE)
            self._decreased_at = now
