"""A budget of extra work, as a share of the work that is needed.

Load pattern: a fault makes hedges and retries worthwhile for every request
at once. Without a budget they double the load at the very moment when
there is least room, and the extra load keeps the fault alive. The budget
earns a share of a token for each needed sub-query and is capped, so that a
quiet hour does not save up a storm.

A budget starts empty or full. Hedges start empty: started full, each owner
gave away its cap for nothing, which showed as an extra load of 0.02 to 0.06
with hedges off. Retries start full, since the first requests after a start
may meet a searcher that is gone. A share of zero is no extra at all.
"""


class TokenBudget:
    """Earns ``share`` a request, up to ``cap``; an extra costs one."""

    __slots__ = ('_cap', '_tokens', 'share')

    def __init__(self, share: float, cap: float, tokens: float) -> None:
        """Start with ``tokens``."""
        self.share = share
        self._cap = cap
        self._tokens = tokens

    def earn(self, requests: int) -> None:
        """Count needed work."""
        self._tokens = min(self._cap, self._tokens + self.share * requests)

    def spend(self) -> bool:
        """Take one token; tell whether there was one."""
        if self._tokens < 1 or not self.share:
            return False
        self._tokens -= 1
        return True
