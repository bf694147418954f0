"""The error for a body over its bound."""

import dataclasses
from typing import ClassVar

from chivepond.errors import problem


@dataclasses.dataclass(slots=True, frozen=True)
class TooLarge(problem.Problem):
    """The body is larger or deeper than this endpoint takes."""

    kind: ClassVar[str] = 'too_large'
    status: ClassVar[int] = 413
