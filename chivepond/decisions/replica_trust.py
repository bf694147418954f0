"""How far a replica that failed lately is chosen again.

Load pattern: one searcher sheds all it gets, or answers nothing, while its
sibling is well. What it refuses costs it no time, so it looks idle and draws
more work the worse it gets; each piece then costs a retry, and when the
budget for those is spent, shards go missing that the sibling would have
covered. Ejection does not help in small groups, where it never fires.

The weight halves with each batch that failed and regains a tenth of what is
missing with each that did not: a searcher that refuses one batch in 20 keeps
most of its work. It never falls below ``_LEAST``, and what is missing halves
every ``_HALF_LIFE_S``, so a searcher that is well again is soon found out
about. A fault that all replicas share leaves them alike, since only weights
of siblings are compared.
"""

_FAILED_FACTOR = 0.5
_REGAIN = 0.1
_LEAST = 0.01
_HALF_LIFE_S = 1.0


class ReplicaTrust:
    """Follows one searcher; times are seconds of one clock."""

    __slots__ = ('_at', '_weight')

    def __init__(self) -> None:
        """Start with full trust."""
        self._weight = float(1)
        self._at = float(0)

    def weight(self, now: float) -> float:
        """Return a weight for the choice of replicas, at most 1."""
        missing = 1 - self._weight
        return 1 - missing * 2 ** ((self._at - now) / _HALF_LIFE_S)

    def failed(self, now: float) -> None:
        """Take a batch that was refused, or not answered whole."""
        self._weight = max(_LEAST, self.weight(now) * _FAILED_FACTOR)
        self._at = now

    def succeeded(self, now: float) -> None:
        """Take a batch that was answered."""
        weight = self.weight(now)
        self._weight = weight + _REGAIN * (1 - weight)
        self._at = now
