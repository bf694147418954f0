"""A shard that a search response does not cover."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class MissingShard:
    """A shard that was not searched, and the reason.

    ``reason`` is one of the constants in ``shard_outcome``.
    """

    shard: str
    reason: str
