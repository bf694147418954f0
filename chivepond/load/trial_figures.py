"""Figures of one trial."""

import dataclasses

from chivepond.load import stream_figures


@dataclasses.dataclass(slots=True, frozen=True)
class TrialFigures:
    """Figures of one run of one variant.

    ``lag_p99_ms`` is the lag of the load generator. ``cpu`` is in cores and
    ``memory_mb`` is resident memory at the end, both of the whole process.
    ``extra_load`` is the ratio of the sub-queries that searchers started to
    those expected, less one; ``shed_per_search`` is the number of batches
    that searchers refused for each search. ``doubled`` counts commands that
    ran more than once. ``lost`` counts commands that were reported as done
    but never ran, or reported as not run but ran.
    """

    variant: str
    streams: dict[str, stream_figures.StreamFigures]
    lag_p99_ms: float
    cpu: float
    cpu_ms_per_sub_query: float
    memory_mb: float
    sub_queries_per_s: float
    extra_load: float
    shed_per_search: float
    platform_calls_per_s: float
    doubled: int
    lost: int
    cpu_by_process: dict[str, float]
    memory_mb_by_process: dict[str, float]
