"""The error for a request body over the limit."""

import dataclasses
from typing import ClassVar

from chivepond.errors import problem


@dataclasses.dataclass(slots=True, frozen=True)
class TooLarge(problem.Problem):
    """The body is larger or more deeply nested than the endpoint accepts."""

    kind: ClassVar[str] = 'too_large'
    status: ClassVar[int] = 413
