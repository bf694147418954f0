"""The base class of all errors that chivepond returns."""

import dataclasses
from typing import ClassVar


@dataclasses.dataclass(slots=True, frozen=True)
class Problem:
    """An error with its remedy.

    ``retry_after_ms`` is the time to wait before a retry in milliseconds, and
    none if a retry does not help.
    """

    kind: ClassVar[str] = 'internal'
    status: ClassVar[int] = 500

    message: str
    remedy: str
    retry_after_ms: int | None = None

    def __str__(self) -> str:
        """Return the message and the remedy in one line."""
        return f'{self.message}; {self.remedy}'
