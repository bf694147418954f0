"""The error in an error reply."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class ErrorBody:
    """One error, with texts for people and a ``kind`` for programs."""

    kind: str
    message: str
    remedy: str
    retry_after_ms: int | None = None
