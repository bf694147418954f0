"""A non-idempotent request as a caller sends it."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class CommandRequest:
    """Work that must run at most once, named by its key.

    ``key`` is ``<milliseconds since the epoch, at issue>-<unique part>``.
    ``shard_key`` chooses the shard that runs it.
    """

    service: str
    key: str
    shard_key: str
    body: str
    caller: str
    deadline_ms: int = 0
