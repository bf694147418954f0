"""A shard that an answer does not cover."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class MissingShard:
    """A shard that was not searched, and why.

    ``reason`` is one of the names in ``shard_outcome``.
    """

    shard: str
    reason: str
