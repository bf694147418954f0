"""The outcome of one request."""

import dataclasses

#: The kind of an outcome that is a response without an error.
ANSWERED = 'answered'


@dataclasses.dataclass(slots=True)
class Outcome:
    """The outcome of one request; times are in seconds.

    ``took_s`` is measured from the due time. ``kind`` is ``ANSWERED`` or the
    kind of the error. ``key`` is set for commands only.
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
        """Whether the request was answered with full coverage."""
        return self.kind == ANSWERED and self.covered == self.total
