"""When a late part is requested from a second searcher.

Load pattern: a searcher pauses for 200 ms every few seconds; with 20 shards,
two searches in three have a shard in such a pause. A hedge that is sent after
the slowest usual reply time, and early enough for its own reply to arrive in
time, hides the pause. Sent later its reply is late; sent earlier it spends the
budget on healthy searchers.
"""

from chivepond.decisions import switches
from chivepond.settings import mechanism

#: Maximum delay, as a share of the time until the answer is due: the remainder
#: is twice a usual reply time.
_MAX_DELAY_SHARE = 0.38
#: Minimum delay, as a share of that time.
_MIN_DELAY_SHARE = 0.15
#: Deviations above the mean at which a reply counts as late.
_DEVIATIONS = 3.0
#: Weight of a new sample: the mean covers about 50 replies.
_SAMPLE_WEIGHT = 0.02


class HedgeTiming:
    """Learns from the replies on one route when a reply is late."""

    __slots__ = ('_deviation_s', '_mean_s')

    def __init__(self) -> None:
        """Start without samples: the maximum delay applies."""
        self._mean_s: float = 0
        self._deviation_s: float = 0

    def learn(self, duration_s: float) -> None:
        """Record the duration of a successful reply, in seconds."""
        if not self._mean_s:
            self._mean_s = duration_s
            self._deviation_s = duration_s / 2
            return
        error_s = duration_s - self._mean_s
        self._mean_s += _SAMPLE_WEIGHT * error_s
        self._deviation_s += _SAMPLE_WEIGHT * (abs(error_s) - self._deviation_s)

    def delay_s(
        self,
        remaining_s: float,
        mechanism_switches: switches.Switches,
    ) -> float:
        """Return the delay between the first request and the hedge, in seconds.

        ``remaining_s`` is the time until the answer is due here: an aggregator
        has less time than the gateway that it replies to.
        """
        max_delay_s = _MAX_DELAY_SHARE * remaining_s
        is_learned = mechanism_switches.is_on(
            mechanism.Mechanism.LEARNED_ASK_TIME
        )
        if not self._mean_s or not is_learned:
            return max_delay_s
        learned_delay_s = self._mean_s + _DEVIATIONS * self._deviation_s
        return min(
            max_delay_s, max(learned_delay_s, _MIN_DELAY_SHARE * remaining_s)
        )
