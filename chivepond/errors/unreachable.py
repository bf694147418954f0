"""The error for an exchange with another process that failed."""

import dataclasses
from typing import ClassVar

from chivepond.errors import problem


@dataclasses.dataclass(slots=True, frozen=True)
class Unreachable(problem.Problem):
    """The other process gave no usable answer in time."""

    kind: ClassVar[str] = 'unreachable'
    status: ClassVar[int] = 503
