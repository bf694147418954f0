"""Collects the outcomes of a trial and summarizes them."""

import collections

from hdrh import histogram

from chivepond.load import outcome, stream_figures

_LOWEST_US = 1
_HIGHEST_US = 120_000_000
_SIGNIFICANT_DIGITS = 3
_US_PER_S = 1_000_000
_US_PER_MS = 1000
_P50 = 50
_P99 = 99
_P999 = 99.9


class Recorder:
    """Collects the outcomes of one trial; figures exclude its warm-up."""

    __slots__ = ('_seconds', '_warm_up_s', 'lags', 'outcomes')

    def __init__(self, seconds: float, warm_up_s: float) -> None:
        """Start a trial of ``seconds``, of which ``warm_up_s`` are excluded."""
        self._seconds = seconds
        self._warm_up_s = warm_up_s
        self.lags = _histogram()
        self.outcomes: list[outcome.Outcome] = []

    def record_lag(self, due_s: float, lag_s: float) -> None:
        """Record how many seconds after its due time a request was sent."""
        if due_s >= self._warm_up_s:
            _record(self.lags, lag_s)

    def record_outcome(self, request_outcome: outcome.Outcome) -> None:
        """Record the outcome of a request."""
        self.outcomes.append(request_outcome)

    def lag_p99_ms(self) -> float:
        """Return the 99th percentile of the generator's lag."""
        return percentile_ms(self.lags, _P99)

    def expected_sub_queries(self) -> int:
        """Return the number of shards over all answered searches.

        It includes the warm-up.
        """
        return sum(request_outcome.total for request_outcome in self.outcomes)

    def figures(self, stream: str) -> stream_figures.StreamFigures:
        """Return the figures of one stream after the warm-up."""
        counted = self._after_warm_up(stream)
        answered = [
            request_outcome
            for request_outcome in counted
            if request_outcome.kind == outcome.ANSWERED
        ]
        refused = [
            request_outcome
            for request_outcome in counted
            if request_outcome.kind != outcome.ANSWERED
        ]
        fully_covered = [
            request_outcome
            for request_outcome in answered
            if request_outcome.is_whole
        ]
        latencies = latency_histogram(answered)
        return stream_figures.StreamFigures(
            searches=len(counted),
            p50_ms=percentile_ms(latencies, _P50),
            p99_ms=percentile_ms(latencies, _P99),
            p999_ms=percentile_ms(latencies, _P999),
            max_ms=latencies.get_max_value() / _US_PER_MS,
            coverage=_coverage(answered),
            answered=len(answered) / max(1, len(counted)),
            whole_per_s=len(fully_covered) / (self._seconds - self._warm_up_s),
            refuse_p99_ms=percentile_ms(latency_histogram(refused), _P99),
            last_unwhole_s=_last_unwhole_s(counted),
            refusals_by_kind=dict(
                collections.Counter(
                    request_outcome.kind for request_outcome in refused
                ),
            ),
            whole_by_second=[
                len(second) for second in self._by_second(fully_covered)
            ],
            p99_by_second=[
                percentile_ms(latency_histogram(second), _P99)
                for second in self._by_second(answered)
            ],
        )

    def _after_warm_up(self, stream: str) -> list[outcome.Outcome]:
        return [
            request_outcome
            for request_outcome in self.outcomes
            if request_outcome.stream == stream
            and request_outcome.due_s >= self._warm_up_s
        ]

    def _by_second(
        self,
        outcomes: list[outcome.Outcome],
    ) -> list[list[outcome.Outcome]]:
        outcomes_by_second: list[list[outcome.Outcome]] = [
            [] for _ in range(int(self._seconds) + 1)
        ]
        for request_outcome in outcomes:
            outcomes_by_second[int(request_outcome.due_s)].append(
                request_outcome
            )
        return outcomes_by_second


def latency_histogram(
    outcomes: list[outcome.Outcome],
) -> histogram.HdrHistogram:
    """Return a histogram of the latencies, in microseconds."""
    latencies = _histogram()
    for request_outcome in outcomes:
        _record(latencies, request_outcome.took_s)
    return latencies


def percentile_ms(
    latencies: histogram.HdrHistogram, percentile: float
) -> float:
    """Return a percentile in milliseconds; 0 for an empty histogram."""
    return latencies.get_value_at_percentile(percentile) / _US_PER_MS


def _coverage(answered: list[outcome.Outcome]) -> float:
    totals = [request_outcome.total for request_outcome in answered]
    covered = [request_outcome.covered for request_outcome in answered]
    return sum(covered) / max(1, sum(totals))


def _last_unwhole_s(outcomes: list[outcome.Outcome]) -> float:
    return max(
        (
            request_outcome.due_s
            for request_outcome in outcomes
            if not request_outcome.is_whole
        ),
        default=0,
    )


def _histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(_LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS)


def _record(latencies: histogram.HdrHistogram, seconds: float) -> None:
    duration_us = int(seconds * _US_PER_S)
    latencies.record_value(min(_HIGHEST_US, max(_LOWEST_US, duration_us)))
