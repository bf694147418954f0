"""What became of one request."""

import dataclasses

#: The kind of an outcome that is an answer.
ANSWERED = 'answered'


@dataclasses.dataclass(slots=True)
class Outcome:
    """Times in seconds; ``took_s`` counts from when the request was due.

    ``kind`` is an error's unless it was answered. A command has a ``key``.
    """

    stream: str
    due_s: float
    took_s: float = 0
    kind: str = ANSWERED
    total: int = 0
    covered: int = 0
    key: str = ''

    @property
    def is_whole(self) -> bool:
        """Whether it was answered with full coverage."""
        return self.kind == ANSWERED and self.covered == self.total
