"""An undecoded HTTP reply."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Reply:
    """The status and the whole body of one HTTP reply."""

    status: int
    body: bytes
