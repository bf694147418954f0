"""The error for something that is not there."""

import dataclasses
from typing import ClassVar

from chivepond.errors import problem


@dataclasses.dataclass(slots=True, frozen=True)
class NotFound(problem.Problem):
    """What was asked for does not exist."""

    kind: ClassVar[str] = 'not_found'
    status: ClassVar[int] = 404
