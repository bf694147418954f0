"""Outlier ejection: which searchers get no work for a while.

Load pattern: one searcher fails fast, or does not reply, while its peers are
healthy. Without ejection it looks idle, so it attracts more work the worse it
gets, and each failed sub-query costs a retry.

A searcher is ejected when more than half of its work failed while the median
failure share of its peers is below one in ten. A shared fault, such as a bad
index or a broken link, raises the median, and then no searcher is ejected:
ejection would only put the same load on fewer searchers. At most a third of a
group is ejected at a time, whatever the failure shares are. Counts are halved
at each evaluation, so that old failures fade, and fewer than ten outcomes
count as unknown. An ejection lasts two seconds, doubled each time the searcher
fails again soon, up to a minute. The duration is jittered so that several
searchers do not return at the same time.
"""

import collections
import dataclasses
import random
import statistics

_MIN_FAILED_SHARE = 0.5
_MAX_HEALTHY_FAILED_SHARE = 0.1
_MAX_EJECTED_SHARE = 1 / 3
_MIN_OUTCOMES = 10
_INITIAL_EJECTION_S = 2.0
_MAX_EJECTION_S = 60.0
_JITTER_LOW = 0.8
_JITTER_HIGH = 1.2
_DECAY_FACTOR = 0.5


@dataclasses.dataclass(slots=True)
class _Record:
    """Decayed outcome counts of one searcher and its ejection state."""

    failed: float = 0
    outcomes: float = 0
    is_out: bool = False
    until: float = 0
    next_s: float = _INITIAL_EJECTION_S

    @property
    def failed_share(self) -> float:
        """The failed share; zero while there are too few outcomes."""
        if self.outcomes < _MIN_OUTCOMES:
            return 0
        return self.failed / self.outcomes


class Ejection:
    """Tracks one group of searchers; times are seconds of one clock."""

    __slots__ = ('_random', '_record_by_id')

    def __init__(self, rng: random.Random) -> None:
        """Start without records; ``rng`` draws the jitter."""
        self._random = rng
        self._record_by_id: dict[str, _Record] = collections.defaultdict(
            _Record,
        )

    def observe(self, searcher_id: str, has_failed: bool) -> None:
        """Record the outcome of one sub-query."""
        record = self._record_by_id[searcher_id]
        record.outcomes += 1
        record.failed += has_failed

    def forget(self, searcher_id: str) -> None:
        """Drop the record of a searcher that left the group."""
        self._record_by_id.pop(searcher_id, None)

    def look(self, now: float) -> set[str]:
        """Evaluate the outcomes since the last call; return the ejected ids."""
        for record in self._record_by_id.values():
            if record.is_out and record.until <= now:
                record.is_out = False
        for record in self._worst_first():
            if not self._may_eject(record):
                break
            self._eject(record, now)
        self._decay_counts()
        return {
            searcher_id
            for searcher_id, record in self._record_by_id.items()
            if record.is_out
        }

    def _worst_first(self) -> list[_Record]:
        records = [
            record
            for record in self._record_by_id.values()
            if not record.is_out
        ]
        records.sort(key=lambda record: record.failed_share, reverse=True)
        return records

    def _may_eject(self, record: _Record) -> bool:
        records = list(self._record_by_id.values())
        ejected = sum(other.is_out for other in records)
        peer_shares = [
            other.failed_share for other in records if other is not record
        ]
        return (
            record.failed_share > _MIN_FAILED_SHARE
            and ejected + 1 <= len(records) * _MAX_EJECTED_SHARE
            and statistics.median(peer_shares) < _MAX_HEALTHY_FAILED_SHARE
        )

    def _eject(self, record: _Record, now: float) -> None:
        record.is_out = True
        record.until = now + record.next_s * self._random.uniform(
            _JITTER_LOW, _JITTER_HIGH
        )
        record.next_s = min(_MAX_EJECTION_S, record.next_s * 2)
        record.failed = 0
        record.outcomes = 0

    def _decay_counts(self) -> None:
        for record in self._record_by_id.values():
            record.failed *= _DECAY_FACTOR
            record.outcomes *= _DECAY_FACTOR
            if record.outcomes < 1 and not record.is_out:
                record.next_s = max(
                    _INITIAL_EJECTION_S, record.next_s * _DECAY_FACTOR
                )
