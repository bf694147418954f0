"""Budget for sending a request to a second searcher of a service.

Load pattern: during a fault every request wants a hedge, on every gateway at
once. A service may receive a share of its requests as extra load, plus a
burst, over any span of some seconds and from all gateways together. Gateways
start, die and are cut off at any moment, and none knows what the others or its
own predecessor spent. So each hedge is taken from one of two amounts, which
add up to the budget without that knowledge:

* Earned: a share of the requests that this process counted in the last span.
  Each request backs hedges of two spans at most, its own and the next one, so
  that half of the share stays within the budget however requests move between
  gateways.
* Burst: a token bucket that holds a part of the burst (``burst_share``). It
  starts empty, also after a restart, and is refilled by time. The tokens held
  at the start of a span and those added during it are the whole burst.

A hedge counts until both of its sends have arrived or can't any more.
"""

import collections
import dataclasses
import math

from chivepond.decisions import burst_share, recent_count

#: The part of the share and of the burst that is spent. The rest covers
#: requests and sends that are counted earlier or later than they arrive.
_USABLE_PART = 0.8
#: The part of the share that is earned; see above.
_EARNED_PART = _USABLE_PART / 2
#: The part of the burst that the bucket holds; the rest is what refills it
#: during one span.
_BUCKET_PART = 0.5
#: Requests are counted for at most one span, hedges for at least one: a
#: ``RecentCount`` of this part of a span counts no event for longer.
_UNDERCOUNT = 0.95


@dataclasses.dataclass(slots=True, frozen=True)
class BudgetLimits:
    """The hedge limits of a service over all gateways, as configured."""

    #: Extra sends as a share of the requests.
    share: float
    #: Extra sends beyond the share, in one span.
    burst: float
    span_s: float


class HedgeBudget:
    """The hedge budget of one service at one gateway.

    Times are in seconds of a steady clock.
    """

    __slots__ = (
        '_earned_hedges',
        '_held_until',
        '_refilled_at',
        '_requests',
        '_spent_at',
        '_tokens',
        'limits',
    )

    def __init__(self, limits: BudgetLimits) -> None:
        """Start with nothing earned.

        The bucket has been filled since the grant that it is used with.
        """
        self.limits = limits
        self._requests = recent_count.RecentCount(limits.span_s * _UNDERCOUNT)
        self._earned_hedges = recent_count.RecentCount(limits.span_s)
        self._tokens: float = 0
        self._refilled_at = -math.inf
        self._spent_at = -math.inf
        #: When the hedges that took a token have arrived at the latest.
        self._held_until: collections.deque[float] = collections.deque()

    def count_request(self, now: float) -> None:
        """Count a request for the service."""
        self._requests.add(now)

    def uncount_request(self, now: float) -> None:
        """Take back a request that was not sent to any searcher."""
        self._requests.add(now, -1)

    def is_idle(self, now: float) -> bool:
        """Tell whether a new budget would allow the same from now on."""
        self._release(now)
        return not (
            self._requests.read(now)
            or self._earned_hedges.read(now)
            or self._held_until
            or now < self._spent_at + self.limits.span_s
        )

    def remaining(self, now: float, grant: burst_share.BurstGrant) -> float:
        """Return how many hedges the budget allows now."""
        self._refill(now, grant)
        return self._earned(now) + self._tokens

    def spend(
        self, now: float, grant: burst_share.BurstGrant, until: float
    ) -> bool:
        """Take one hedge from the budget; return false if none is left.

        ``until`` is when its sends have arrived at the latest: the deadline of
        the request.
        """
        if self.remaining(now, grant) < 1:
            return False
        self._spent_at = now
        earned = min(1, self._earned(now))
        self._earned_hedges.add(until, earned)
        if earned < 1:
            self._tokens -= 1 - earned
            self._held_until.append(until)
        return True

    def _earned(self, now: float) -> float:
        allowed = _EARNED_PART * self.limits.share * self._requests.read(now)
        return max(0, allowed - self._earned_hedges.read(now))

    def _refill(self, now: float, grant: burst_share.BurstGrant) -> None:
        """Add the tokens of the time since the last refill, up to the limit.

        Tokens beyond the part of the grant are lost, so that the buckets of
        all gateways hold no more than their parts at any moment.
        """
        self._release(now)
        if grant.since > self._refilled_at:
            self._tokens = 0
            self._refilled_at = min(now, grant.since)
        burst = _USABLE_PART * self.limits.burst * grant.part
        elapsed_spans = (now - self._refilled_at) / self.limits.span_s
        self._refilled_at = now
        added = (1 - _BUCKET_PART) * burst * elapsed_spans
        capacity = _BUCKET_PART * burst - len(self._held_until)
        self._tokens = max(0, min(capacity, self._tokens + added))

    def _release(self, now: float) -> None:
        while self._held_until and self._held_until[0] <= now:
            self._held_until.popleft()
