"""How far one shard of a call is."""

import dataclasses


@dataclasses.dataclass(slots=True)
class ShardProgress:
    """Searchers tried so far, and attempts that may still be answered."""

    replicas: list[str]
    tried: list[str]
    in_flight: int = 0
    reason: str = ''
