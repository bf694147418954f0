"""Collects the metrics of a gateway, and logs its events at a bounded rate."""

import asyncio
import bisect
import collections
import itertools
import math
from collections.abc import Collection, Mapping

from chivepond.decisions import log_limit
from chivepond.observe import event, journal

#: Upper bounds of the latency histogram, in seconds; around the usual target
#: latencies each one is about two thirds of the next.
BUCKETS_S = (
    *(0.01, 0.025, 0.05, 0.1),
    *(0.15, 0.2, 0.3, 0.5),
    *(1, 2.5, 5, 10),
)


#: Maximum number of labels of one metric, as routes come and go while a gateway
#: runs. Further labels are counted under one common label.
_MAX_LABELS = 400
_OVERFLOW_LABEL = 'others'


class LatencyHistogram:
    """A histogram with fixed buckets, the last one unbounded."""

    __slots__ = ('counts', 'total_s')

    def __init__(self) -> None:
        """Start with all counts at zero."""
        self.counts = [0 for _ in (*BUCKETS_S, math.inf)]
        self.total_s: float = 0

    def add(self, duration_s: float) -> None:
        """Add one observation, in seconds."""
        self.counts[bisect.bisect_left(BUCKETS_S, duration_s)] += 1
        self.total_s += duration_s

    def cumulative_counts(self) -> list[tuple[str, int]]:
        """Return each bucket's upper bound, as text, and cumulative count."""
        bounds = (*map(str, BUCKETS_S), '+Inf')
        sums = itertools.accumulate(self.counts)
        return list(zip(bounds, sums, strict=True))


class Telemetry:
    """Counters, gauges and histograms by name and label, and the log."""

    __slots__ = (
        '_is_tracing',
        '_log_limit',
        '_node_id',
        'counts_by_name',
        'gauge_by_name',
        'gauges_by_name',
        'latency_by_route',
        'wait_by_kind',
    )

    def __init__(self, node_id: str, *, is_tracing: bool = False) -> None:
        """Start with no metrics; each log event carries ``node_id``.

        ``is_tracing`` logs each request to a searcher.
        """
        self._node_id = node_id
        self._is_tracing = is_tracing
        self._log_limit = log_limit.LogLimit()
        #: Counters by name, then by label.
        self.counts_by_name: dict[str, collections.Counter[str]] = {}
        self.gauge_by_name: dict[str, float] = {}
        #: Labelled gauges by name, then by label.
        self.gauges_by_name: dict[str, Mapping[str, float]] = {}
        self.latency_by_route: dict[str, LatencyHistogram] = {}
        #: Histograms of the wait for a connection, by kind of upstream.
        self.wait_by_kind: dict[str, LatencyHistogram] = {}

    def count(self, name: str, label: str) -> None:
        """Increment the counter of a label."""
        counts = self.counts_by_name.setdefault(name, collections.Counter())
        counts[_bounded_label(counts, label)] += 1

    def gauge(self, name: str, reading: float) -> None:
        """Set a gauge."""
        self.gauge_by_name[name] = reading

    def labelled_gauge(
        self, name: str, reading_by_label: Mapping[str, float]
    ) -> None:
        """Set a gauge for each label."""
        self.gauges_by_name[name] = reading_by_label

    def record_connection_wait(self, kind: str, duration_s: float) -> None:
        """Record how long a request waited for a connection, in seconds."""
        self.wait_by_kind.setdefault(kind, LatencyHistogram()).add(duration_s)

    def record_response_time(self, route: str, duration_s: float) -> None:
        """Record the response time of one request, in seconds."""
        label = _bounded_label(self.latency_by_route, route)
        self.latency_by_route.setdefault(label, LatencyHistogram()).add(
            duration_s
        )

    def emit(
        self,
        kind: event.Event,
        /,
        *,
        is_ordinary: bool = False,
        **event_fields: object,
    ) -> None:
        """Log an event with its fields, unless its rate limit is exceeded.

        Suppressed events are counted, and the next one that is logged reports
        their number. Those that are ``is_ordinary`` have their own limit.
        """
        per_s = log_limit.NOTABLE_PER_S
        if is_ordinary:
            per_s = log_limit.ORDINARY_PER_S
        now = asyncio.get_running_loop().time()
        suppressed = self._log_limit.take(kind.number, per_s, now)
        if suppressed is None:
            self.count('log_lines_left_out', str(kind.number))
            return
        if suppressed:
            event_fields['left_out_before'] = suppressed
        journal.log(kind, node=self._node_id, **event_fields)

    def trace(self, kind: event.Event, /, **event_fields: object) -> None:
        """Log an event without a rate limit, if tracing is on."""
        if self._is_tracing:
            journal.log(kind, node=self._node_id, **event_fields)


def _bounded_label(labels: Collection[str], label: str) -> str:
    """Return the label, or the overflow label if there are too many."""
    return (
        label
        if label in labels or len(labels) < _MAX_LABELS
        else _OVERFLOW_LABEL
    )
