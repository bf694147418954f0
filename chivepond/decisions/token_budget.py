"""A budget for extra work, as a share of the regular work.

Load pattern: a fault makes hedges and retries worthwhile for every request at
once. Without a budget they double the load just when there is least spare
capacity, and the extra load keeps the fault alive. The budget earns a share of
a token per regular sub-query and is capped, so that an idle hour does not
accumulate tokens for a storm of extra work.

A budget starts empty or full. Hedge budgets start empty: when they started
full, each owner could spend its whole cap at once, which showed as an extra
load of 0.02 to 0.06 with hedges off. Retry budgets start full, since the first
requests after a start may reach a searcher that is gone. A share of zero
allows no extra work at all.
"""


class TokenBudget:
    """Earns ``share`` per request, up to ``cap``; extra work costs one."""

    __slots__ = ('_cap', '_tokens', 'share')

    def __init__(self, share: float, cap: float, tokens: float) -> None:
        """Start with ``tokens`` tokens."""
        self.share = share
        self._cap = cap
        self._tokens = tokens

    def earn(self, requests: int) -> None:
        """Add the earnings of a number of regular requests."""
        self._tokens = min(self._cap, self._tokens + self.share * requests)

    def spend(self) -> bool:
        """Take one token; return false if there is none."""
        if self._tokens < 1 or not self.share:
            return False
        self._tokens -= 1
        return True
