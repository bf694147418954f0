"""How far old claims may have been swept."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class ClaimFloor:
    """Claims of keys issued up to ``issued_ms`` may be gone.

    Milliseconds since the epoch; only ever rises.
    """

    issued_ms: int
