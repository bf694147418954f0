"""The usual latency of a service, over all of its searchers.

Load pattern: a gateway queries each searcher of a service once in several
seconds. Its sample of a searcher is old by the next request, and it has none
of a searcher that just started: both are expected at the usual latency.
"""

#: Weight of a new reply: the mean covers about twenty.
_MIN_SAMPLE_WEIGHT = 0.05
#: A sample is capped at this many times the mean, so that a single pause has
#: little effect.
_MAX_SAMPLE_FACTOR = 3.0
#: Latency before the first reply, in seconds.
_INITIAL_S = 0.03


class UsualLatency:
    """Learns from all replies of a service, in seconds."""

    __slots__ = ('_reply_count', 'seconds')

    def __init__(self) -> None:
        """Start at a low latency until the first reply."""
        self._reply_count = 1
        self.seconds = _INITIAL_S

    def learn(self, duration_s: float) -> None:
        """Record the duration of a successful reply, in seconds."""
        self._reply_count += 1
        weight = max(_MIN_SAMPLE_WEIGHT, 1 / self._reply_count)
        bounded_s = min(duration_s, _MAX_SAMPLE_FACTOR * self.seconds)
        self.seconds += weight * (bounded_s - self.seconds)
