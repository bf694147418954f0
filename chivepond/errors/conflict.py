"""The error for a conditional write with an outdated version."""

import dataclasses
from typing import ClassVar

from chivepond.errors import problem


@dataclasses.dataclass(slots=True, frozen=True)
class Conflict(problem.Problem):
    """The object is not at the version that the writer expected."""

    kind: ClassVar[str] = 'conflict'
    status: ClassVar[int] = 409
