"""The error for a conditional write that lost."""

import dataclasses
from typing import ClassVar

from chivepond.errors import problem


@dataclasses.dataclass(slots=True, frozen=True)
class Conflict(problem.Problem):
    """The object has another version than the writer expected."""

    kind: ClassVar[str] = 'conflict'
    status: ClassVar[int] = 409
