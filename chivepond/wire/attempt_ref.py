"""The identifier of one attempt at one shard."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class AttemptRef:
    """The fields that identify an attempt uniquely."""

    request_id: str
    attempt: int
    shard: str
