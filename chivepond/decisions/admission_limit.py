"""Adaptive limit on the searches of one service in flight at a node.

Load pattern: saturation. Without a limit every search is admitted and waits
longer, until all of them miss their deadlines while the searchers work on
requests whose callers have given up. A limit that adapts only to failed
searches adapts one deadline too late, when the queues already hold more than
can be served.

So the limit adapts to queueing time: owners report for how many shards of a
search the work waited long or was dropped from the queue. A search with over a
quarter of such shards takes ``_DECREASE_STEP`` off the limit; each other
search adds a fraction that sums up to ``_INCREASE_PER_ROUND_TRIP`` over a
round trip. A round trip in which every search is marked takes a quarter off
the limit, and a few marks hold the limit where queues are short but not empty.
Each response counts once, so one overload is not counted twice. This is the
idea of DCTCP, applied per response. Doubling both steps served the same load,
but at a limit of three or four per node it rejected 13% or 14% of the searches
of quiet callers beside a hot caller instead of 7% (figures in
docs/design/admission.md).

More than a quarter of the shards must have waited, so that one slow searcher
does not lower the limit of the service. Until the first mark the limit doubles
each round trip (slow start). The limit rises only while it is in use or
rejects searches; otherwise it would grow without bound during idle hours.

There is one limit per service, because the searchers of another service may be
idle. It starts low, since everything admitted in excess before the first mark
arrives must be served or lost. The minimum is one search: at the planned size
a node has about ten searches in flight, and in a small deployment ten are what
all nodes together can serve.
"""

_INITIAL_LIMIT = 8
_MIN_LIMIT = 1
_MAX_LIMIT = 4096
_DECREASE_STEP = 0.25
_INCREASE_PER_ROUND_TRIP = 0.5
_MAX_WAITED_SHARE = 0.25
_MIN_USED_SHARE = 0.5


class AdmissionLimit:
    """Adapts the limit to what the searchers of a service can serve."""

    __slots__ = ('_is_slow_start', '_limit', '_was_refused')

    def __init__(self, initial: float = _INITIAL_LIMIT) -> None:
        """Start with a limit of ``initial`` searches in flight."""
        self._limit = float(initial)
        self._is_slow_start = True
        self._was_refused = False

    @property
    def current(self) -> int:
        """The number of searches that may be in flight."""
        return int(self._limit)

    def refused(self) -> None:
        """Record that this limit rejected a search."""
        self._was_refused = True

    def finished(self, waited_share: float, in_flight: int) -> None:
        """Record a finished search and its share of shards that waited long.

        ``in_flight`` is the number of searches in flight, including this one.
        """
        if waited_share > _MAX_WAITED_SHARE:
            self._is_slow_start = False
            self._limit = max(_MIN_LIMIT, self._limit - _DECREASE_STEP)
            return
        if self._was_refused or in_flight > self._limit * _MIN_USED_SHARE:
            self._was_refused = False
            self._increase()

    def _increase(self) -> None:
        increment = (
            1 if self._is_slow_start else _INCREASE_PER_ROUND_TRIP / self._limit
        )
        self._limit = min(_MAX_LIMIT, self._limit + increment)
