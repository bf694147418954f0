"""How often a request may be sent to a second searcher of a service.

Load pattern: during a fault each request wants a second send, on each
gateway at once; a service may get a share of its requests as extra, and a
burst, over any span of some seconds and from all gateways together. No
gateway knows what the others spend. So each one spends its share of its own
requests, which adds up to the share of all, and its part of the burst: the
burst through the gateways there may be. This holds whatever the gateways
know of each other; who is cut off spends no more than its part.
"""

import dataclasses

from chivepond.decisions import recent_count

#: The part of the share and of the burst that is spent. The rest covers
#: requests counted by a gateway that died, and unevenly cut spans.
_SPENT_PART = 0.8


@dataclasses.dataclass(slots=True, frozen=True)
class BudgetLimits:
    """What a service may get in all, as the operators bound it."""

    #: Extra sends as a share of the requests.
    share: float
    #: Extra sends beyond the share, in one span.
    burst: float
    span_s: float


class SecondSendBudget:
    """The budget of one service at one gateway."""

    __slots__ = ('_extras', '_requests', 'limits')

    def __init__(self, limits: BudgetLimits) -> None:
        """Start with nothing counted."""
        self.limits = limits
        self._requests = recent_count.RecentCount(limits.span_s)
        self._extras = recent_count.RecentCount(limits.span_s)

    def count_request(self, now: float) -> None:
        """Count a request for the service."""
        self._requests.add(now)

    def left(self, now: float, gateways: int) -> float:
        """Return how many second sends are left, one of ``gateways``."""
        allowed = self.limits.share * self._requests.read(now)
        allowed += self.limits.burst / max(1, gateways)
        return _SPENT_PART * allowed - self._extras.read(now)

    def spend(self, now: float, gateways: int) -> bool:
        """Take one second send; tell whether there was one."""
        if self.left(now, gateways) < 1:
            return False
        self._extras.add(now)
        return True
