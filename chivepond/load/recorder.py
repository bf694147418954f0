"""Collects outcomes and makes figures of them."""

import collections

from hdrh import histogram

from chivepond.load import outcome, stream_figures

_LOWEST_US = 1
_HIGHEST_US = 120_000_000
_DIGITS = 3
_US_PER_S = 1_000_000
_US_PER_MS = 1000
_P50 = 50
_P99 = 99
_P999 = 99.9


class Recorder:
    """Keeps the outcomes of one trial; figures leave out its warm-up."""

    __slots__ = ('_seconds', '_warm_up_s', 'lags', 'outcomes')

    def __init__(self, seconds: float, warm_up_s: float) -> None:
        """Count outcomes due between the warm-up and the end."""
        self._seconds = seconds
        self._warm_up_s = warm_up_s
        self.lags = _histogram()
        self.outcomes: list[outcome.Outcome] = []

    def sent(self, due_s: float, late_s: float) -> None:
        """Take how late the generator was with one request."""
        if due_s >= self._warm_up_s:
            _record(self.lags, late_s)

    def ended(self, ended: outcome.Outcome) -> None:
        """Take an outcome."""
        self.outcomes.append(ended)

    def lag_p99_ms(self) -> float:
        """Return the generator's own lag."""
        return percentile_ms(self.lags, _P99)

    def needed(self) -> int:
        """Return the sub-queries that the answered searches called for."""
        return sum(ended.total for ended in self.outcomes)

    def figures(self, stream: str) -> stream_figures.StreamFigures:
        """Return the figures of one stream."""
        seen = self._counted(stream)
        answered = [one for one in seen if one.kind == outcome.ANSWERED]
        refused = [one for one in seen if one.kind != outcome.ANSWERED]
        whole = [one for one in answered if one.is_whole]
        took = of(answered)
        return stream_figures.StreamFigures(
            searches=len(seen),
            p50_ms=percentile_ms(took, _P50),
            p99_ms=percentile_ms(took, _P99),
            p999_ms=percentile_ms(took, _P999),
            max_ms=took.get_max_value() / _US_PER_MS,
            coverage=_coverage(answered),
            answered=len(answered) / max(1, len(seen)),
            whole_per_s=len(whole) / (self._seconds - self._warm_up_s),
            refuse_p99_ms=percentile_ms(of(refused), _P99),
            last_unwhole_s=_last_unwhole_s(seen),
            refusals_by_kind=dict(
                collections.Counter(one.kind for one in refused),
            ),
            whole_by_second=[len(part) for part in self._by_second(whole)],
            p99_by_second=[
                percentile_ms(of(part), _P99)
                for part in self._by_second(answered)
            ],
        )

    def _counted(self, stream: str) -> list[outcome.Outcome]:
        return [
            ended
            for ended in self.outcomes
            if ended.stream == stream and ended.due_s >= self._warm_up_s
        ]

    def _by_second(
        self,
        seen: list[outcome.Outcome],
    ) -> list[list[outcome.Outcome]]:
        parts: list[list[outcome.Outcome]] = [
            [] for _ in range(int(self._seconds) + 1)
        ]
        for one in seen:
            parts[int(one.due_s)].append(one)
        return parts


def of(seen: list[outcome.Outcome]) -> histogram.HdrHistogram:
    """Return the latencies of some outcomes."""
    filled = _histogram()
    for one in seen:
        _record(filled, one.took_s)
    return filled


def percentile_ms(filled: histogram.HdrHistogram, share: float) -> float:
    """Return a percentile in milliseconds, zero of nothing."""
    return filled.get_value_at_percentile(share) / _US_PER_MS


def _coverage(answered: list[outcome.Outcome]) -> float:
    totals = [one.total for one in answered]
    covered = [one.covered for one in answered]
    return sum(covered) / max(1, sum(totals))


def _last_unwhole_s(seen: list[outcome.Outcome]) -> float:
    return max((one.due_s for one in seen if not one.is_whole), default=0)


def _histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)


def _record(filled: histogram.HdrHistogram, seconds: float) -> None:
    taken_us = int(seconds * _US_PER_S)
    filled.record_value(min(_HIGHEST_US, max(_LOWEST_US, taken_us)))
