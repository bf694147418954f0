"""Figures of one stream in one trial."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class StreamFigures:
    """Latencies of answers and refusals in ms; ratios between 0 and 1.

    ``coverage`` is the ratio of covered shards in answers, ``answered`` the
    ratio of requests that were answered. ``whole_per_s`` is the rate of
    answers with full coverage; ``whole_by_second`` counts them by the second
    in which they were due. ``last_unwhole_s`` is the due time of the last
    request without a full answer.
    """

    searches: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    max_ms: float
    coverage: float
    answered: float
    whole_per_s: float
    refuse_p99_ms: float
    last_unwhole_s: float
    refusals_by_kind: dict[str, int]
    whole_by_second: list[float]
    p99_by_second: list[float]
