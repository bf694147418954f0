"""Request counts of one service."""

from collections import Counter

from aioprometheus import histogram

from chivepond.observe import time_ring

#: Upper bounds of the latency histogram, in seconds.
LATENCY_BOUNDS_S = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.15,
    0.2,
    0.27,
    0.35,
    0.5,
    1,
    2.5,
    5,
    10,
)

REQUESTS = 'requests'
ANSWERED = 'answered'
_FINE_SLOT_S = 60
_FINE_SLOTS = 360
_COARSE_SLOT_S = 1800
_COARSE_SLOTS = 144


class ServiceCounts:
    """Totals since the start, and counts of the last 6 hours and 3 days."""

    __slots__ = (
        '_coarse',
        '_fine',
        'attempts',
        'by_outcome',
        'latency',
        'missing_by_reason',
        'shards',
        'shards_covered',
    )

    def __init__(self) -> None:
        """Start at zero."""
        self._fine = time_ring.TimeRing(_FINE_SLOT_S, _FINE_SLOTS)
        self._coarse = time_ring.TimeRing(_COARSE_SLOT_S, _COARSE_SLOTS)
        self.by_outcome: Counter[tuple[str, str]] = Counter()
        self.latency = histogram.Histogram(*LATENCY_BOUNDS_S)
        self.attempts = 0
        self.shards = 0
        self.shards_covered = 0
        self.missing_by_reason: Counter[str] = Counter()

    def add(self, name: str, now: float) -> None:
        """Add one to the count ``name``; ``now`` is in seconds."""
        self._fine.add(name, now)
        self._coarse.add(name, now)

    def window(self, window_s: int, now: float) -> dict[str, int]:
        """Return the counts by name over the last ``window_s`` seconds."""
        if window_s <= _FINE_SLOT_S * _FINE_SLOTS:
            return self._fine.total_by_name(window_s, now)
        return self._coarse.total_by_name(window_s, now)
