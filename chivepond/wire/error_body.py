"""The error inside an error reply."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class ErrorBody:
    """One error, as text for people and as a kind for programs."""

    kind: str
    message: str
    remedy: str
    retry_after_ms: int | None = None
