"""What the stand-ins of a bench have counted."""

import dataclasses
from typing import Self

from chivepond.standins import embedded


@dataclasses.dataclass(slots=True, frozen=True)
class BenchCounts:
    """Sums over all searchers, and calls on the platform."""

    sub_queries: int
    shed: int
    platform_calls: int
    runs_by_key: dict[str, int]

    @classmethod
    def of(cls, deployed: embedded.EmbeddedDeployment | None) -> Self:
        """Read them; zeros where the stand-ins run elsewhere."""
        if deployed is None:
            return cls(0, 0, 0, {})
        counts = [one.counts for one in deployed.searcher_by_id.values()]
        runs_by_key: dict[str, int] = {}
        for one in counts:
            for key, runs in one.runs_by_key.items():
                runs_by_key[key] = runs_by_key.get(key, 0) + runs
        return cls(
            sub_queries=sum(one.sub_queries for one in counts),
            shed=sum(one.shed for one in counts),
            platform_calls=sum(deployed.platform.calls_by_path.values()),
            runs_by_key=runs_by_key,
        )
