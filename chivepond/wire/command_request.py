"""A non-idempotent request from a caller."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class CommandRequest:
    """A request that must run at most once, identified by its key.

    ``key`` is ``<milliseconds since the epoch, at issue>-<unique part>``.
    ``shard_key`` selects the shard that runs it.
    """

    service: str
    key: str
    shard_key: str
    body: str
    caller: str
    deadline_ms: int = 0
