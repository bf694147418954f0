"""What one stream saw in one trial."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class StreamFigures:
    """Latencies of answers and times to refuse in ms; shares of 1.

    ``whole_per_s`` counts answers with full coverage; ``whole_by_second``
    does so by the second in which they were due; ``last_unwhole_s`` is when
    the last that was not answered whole was due.
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
