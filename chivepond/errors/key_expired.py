"""The error for a request key older than the retention of claims."""

import dataclasses
from typing import ClassVar

from chivepond.errors import problem


@dataclasses.dataclass(slots=True, frozen=True)
class KeyExpired(problem.Problem):
    """The request key was issued before the oldest retained claim."""

    kind: ClassVar[str] = 'key_expired'
    status: ClassVar[int] = 400
