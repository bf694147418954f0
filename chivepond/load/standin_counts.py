"""Counters of the stand-ins in an embedded deployment."""

import dataclasses
from typing import Self

from chivepond.standins import embedded


@dataclasses.dataclass(slots=True, frozen=True)
class StandinCounts:
    """Totals over all searchers, and the number of calls to the platform.

    ``shed`` counts refused batches; ``runs_by_key`` counts how often each
    command ran.
    """

    sub_queries: int
    shed: int
    platform_calls: int
    runs_by_key: dict[str, int]

    @classmethod
    def read(cls, deployment: embedded.EmbeddedDeployment | None) -> Self:
        """Read the counters; all zero when there is no embedded deployment."""
        if deployment is None:
            return cls(0, 0, 0, {})
        searcher_counts = [
            searcher.counts for searcher in deployment.searcher_by_id.values()
        ]
        runs_by_key: dict[str, int] = {}
        for counts in searcher_counts:
            for key, run_count in counts.runs_by_key.items():
                runs_by_key[key] = runs_by_key.get(key, 0) + run_count
        return cls(
            sub_queries=sum(counts.sub_queries for counts in searcher_counts),
            shed=sum(counts.shed for counts in searcher_counts),
            platform_calls=sum(deployment.platform.calls_by_path.values()),
            runs_by_key=runs_by_key,
        )
