"""The name of one attempt at one shard."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class AttemptRef:
    """What tells an attempt apart from all others."""

    request_id: str
    attempt: int
    shard: str
