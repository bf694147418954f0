"""The issue time up to which claims may have been deleted."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class ClaimFloor:
    """Claims of keys issued up to ``issued_ms`` may have been deleted.

    The time is in milliseconds since the epoch and never decreases.
    """

    issued_ms: int
