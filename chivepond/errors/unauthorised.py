"""The error for a message without a valid signature."""

import dataclasses
from typing import ClassVar

from chivepond.errors import problem


@dataclasses.dataclass(slots=True, frozen=True)
class Unauthorised(problem.Problem):
    """The message has no valid signature of this deployment."""

    kind: ClassVar[str] = 'unauthorised'
    status: ClassVar[int] = 401
