"""The error for a resource that does not exist."""

import dataclasses
from typing import ClassVar

from chivepond.errors import problem


@dataclasses.dataclass(slots=True, frozen=True)
class NotFound(problem.Problem):
    """The requested resource does not exist."""

    kind: ClassVar[str] = 'not_found'
    status: ClassVar[int] = 404
