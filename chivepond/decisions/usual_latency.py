"""What a service's replies usually take, over all of its searchers.

Load pattern: a service of which one gateway asks each searcher once in some
seconds. What it saw of one of them is old when the next request comes, and a
searcher that just started was never seen: both count as the usual one.
"""

#: Weight of the newest reply: some twenty are remembered.
_NEWEST = 0.05
#: One reply counts as no slower than this many times the usual one, so that a
#: single pause says little of a service.
_SLOWEST_FACTOR = 3.0
#: What is believed before the first reply, in seconds.
_FIRST_S = 0.03


class UsualLatency:
    """Learns from all replies of a service, in seconds."""

    __slots__ = ('_replies', 'seconds')

    def __init__(self) -> None:
        """Believe the best until the first reply."""
        self._replies = 1
        self.seconds = _FIRST_S

    def learn(self, took_s: float) -> None:
        """Take the time of one good reply."""
        self._replies += 1
        weight = max(_NEWEST, 1 / self._replies)
        bounded_s = min(took_s, _SLOWEST_FACTOR * self.seconds)
        self.seconds += weight * (bounded_s - self.seconds)
