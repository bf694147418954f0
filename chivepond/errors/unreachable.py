"""The error for a failed exchange with another process."""

import dataclasses
from typing import ClassVar

from chivepond.errors import problem


@dataclasses.dataclass(slots=True, frozen=True)
class Unreachable(problem.Problem):
    """The other process sent no usable reply in time."""

    kind: ClassVar[str] = 'unreachable'
    status: ClassVar[int] = 503
