"""How much work a replica gets after recent failures.

Load pattern: one searcher refuses everything, or does not reply, while its
sibling is healthy. Refused work takes no time, so the searcher looks idle and
attracts more work the worse it gets. Each failure costs a retry, and when the
retry budget is spent, shards are missing that the sibling would have served.
Ejection does not help in small groups, where it never triggers.

Each failed batch takes nine tenths off the weight, and each successful one
restores a tenth of the difference to 1: a searcher that refuses one batch in
20 keeps most of its work. The weight also recovers with time, its logarithm
halving every ``_HALF_LIFE_S``: starting from ``_MIN_WEIGHT`` it takes about
three seconds until the replica is preferred to a sibling with one outstanding
sub-query. So a replica that has recovered is found soon, and one that has not
costs one retry in several seconds. (With a weight that recovered linearly in
time, a failing replica was retried ten times a second.) A fault that all
replicas share leaves them equal, since only the weights of siblings are
compared.
"""

_FAILED_FACTOR = 0.1
_RECOVERY_FACTOR = 0.1
_MIN_WEIGHT = 0.001
_HALF_LIFE_S = 1.0


class ReplicaTrust:
    """Tracks one searcher; times are seconds of one clock."""

    __slots__ = ('_updated_at', '_weight')

    def __init__(self) -> None:
        """Start with a weight of 1."""
        self._weight = float(1)
        self._updated_at = float(0)

    def weight(self, now: float) -> float:
        """Return the weight for the choice of replicas, at most 1."""
        exponent = 2 ** ((self._updated_at - now) / _HALF_LIFE_S)
        return self._weight**exponent

    def failed(self, now: float) -> None:
        """Record a batch that was refused or not answered completely."""
        self._weight = max(_MIN_WEIGHT, self.weight(now) * _FAILED_FACTOR)
        self._updated_at = now

    def succeeded(self, now: float) -> None:
        """Record a batch that was answered."""
        weight = self.weight(now)
        self._weight = weight + _RECOVERY_FACTOR * (1 - weight)
        self._updated_at = now
