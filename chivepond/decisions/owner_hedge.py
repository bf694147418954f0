"""When an entry node asks a second owner, how often, and which it avoids.

Load pattern: one owner, or a whole data centre, is slow or silent while the
others are healthy. Without a hedge its shards are missing from every search
that needs them; with unlimited hedges a slow moment of all owners doubles
their load. So the delay follows the response times of each data centre: it is
twice their 95th percentile, because the owner itself hedges between replicas
at that percentile and gets its chance first. It is at most half of the
remaining time, so that the second owner can still answer. Extra requests are
paid for per shard from a budget that earns a tenth of the requested shards and
holds at most two hundred, half of a whole search.

An owner that failed, or has sent nothing at all since its request, is avoided
for a second; its standby then gets the first request, which is no extra load.
Where most owners look bad the fault is shared, or it is this node's own, and
no owner is avoided.
"""

from chivepond.decisions import hedge_delay, token_budget

#: Extra shards that may be requested, as a share of the shards of first
#: requests.
BUDGET_SHARE = 0.1
#: Maximum number of extra shards that can accumulate in the budget.
BUDGET_CAP = 200
#: How long an owner that failed is avoided, in seconds.
AVOID_S = 1
#: The largest part of the remaining time that the hedge delay may take.
MAX_DELAY_SHARE = 0.5

_DELAY_FACTOR = 2
_INITIAL_DELAY_S = 0.05
_MAX_AVOIDED_SHARE = 0.5


class OwnerHedge:
    """Learns from owners' responses; all times are passed in, in seconds."""

    __slots__ = (
        '_avoided_until_by_node',
        '_budget',
        '_delay_by_data_centre',
        '_last_reply_at_by_node',
    )

    def __init__(self) -> None:
        """Start with a full budget and no owner avoided."""
        self._budget = token_budget.TokenBudget(
            BUDGET_SHARE, BUDGET_CAP, BUDGET_CAP
        )
        self._delay_by_data_centre: dict[str, hedge_delay.HedgeDelay] = {}
        self._last_reply_at_by_node: dict[str, float] = {}
        self._avoided_until_by_node: dict[str, float] = {}

    def needed(self, shards: int) -> None:
        """Count shards of first requests, which earn the budget."""
        self._budget.earn(shards)

    def delay_s(self, data_centre: str, remaining_s: float) -> float:
        """Return the delay before a second owner is asked."""
        return min(
            self._hedge_delay_s(data_centre), remaining_s * MAX_DELAY_SHARE
        )

    def spend(self, shards: int) -> int:
        """Take up to ``shards`` from the budget; return how many it covered."""
        covered = 0
        while covered < shards and self._budget.spend():
            covered += 1
        return covered

    def answered(
        self,
        node_id: str,
        data_centre: str,
        sent_at: float,
        now: float,
    ) -> None:
        """Record the response of an owner to a request of ``sent_at``."""
        self._last_reply_at_by_node[node_id] = now
        self._avoided_until_by_node.pop(node_id, None)
        self._delay_of(data_centre).observe(now - sent_at)

    def failed(self, node_id: str, now: float) -> None:
        """Record a failure; the owner is avoided for ``AVOID_S`` seconds."""
        self._last_reply_at_by_node.setdefault(node_id, 0)
        self._avoided_until_by_node[node_id] = now + AVOID_S

    def is_silent(
        self,
        node_id: str,
        data_centre: str,
        sent_at: float,
        now: float,
    ) -> bool:
        """Tell whether an owner has sent nothing since its request.

        Guards against treating a slow owner as lost, which would report its
        shards as unreachable and move load although it still answers other
        requests. An owner is silent only if no response to any request came
        from it within the hedge delay.
        """
        if now - sent_at < self._hedge_delay_s(data_centre):
            return False
        return self._last_reply_at_by_node.get(node_id, 0) <= sent_at

    def avoided(self, now: float) -> frozenset[str]:
        """Return the owners to avoid; none if most look bad."""
        avoided_ids = frozenset(
            node_id
            for node_id, until in self._avoided_until_by_node.items()
            if until > now
        )
        if (
            len(avoided_ids)
            > len(self._last_reply_at_by_node) * _MAX_AVOIDED_SHARE
        ):
            return frozenset()
        return avoided_ids

    def _hedge_delay_s(self, data_centre: str) -> float:
        return self._delay_of(data_centre).delay_s * _DELAY_FACTOR

    def _delay_of(self, data_centre: str) -> hedge_delay.HedgeDelay:
        delay = self._delay_by_data_centre.get(data_centre)
        if delay is None:
            delay = hedge_delay.HedgeDelay(_INITIAL_DELAY_S)
            self._delay_by_data_centre[data_centre] = delay
        return delay
