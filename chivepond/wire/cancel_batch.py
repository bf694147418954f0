"""A batch of sub-queries to cancel."""

import dataclasses

from chivepond.wire import attempt_ref


@dataclasses.dataclass(slots=True)
class CancelBatch:
    """The body of POST /v1/cancel: attempts whose replies are not needed."""

    entries: list[attempt_ref.AttemptRef]
