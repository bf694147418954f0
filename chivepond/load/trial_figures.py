"""What one trial gave."""

import dataclasses

from chivepond.load import stream_figures


@dataclasses.dataclass(slots=True, frozen=True)
class TrialFigures:
    """Figures of one run of one variant.

    ``lag_p99_ms`` is how late the generator itself sent. ``cpu`` is in cores
    and ``memory_mb`` the peak so far, both of the whole process.
    ``extra_load`` is sub-queries begun over those needed, less one; ``shed``
    is batches that searchers refused for each search. ``doubled`` counts
    commands that ran more than once, ``lost`` those told done that never ran
    and those told not run that did.
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
