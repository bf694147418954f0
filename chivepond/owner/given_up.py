"""An attempt that was rejected while it was queued."""

import dataclasses

from chivepond.owner import attempt


@dataclasses.dataclass(slots=True, frozen=True)
class RejectedAttempt:
    """An attempt that was not sent; ``outcome`` gives the reason."""

    attempt: attempt.Attempt
    outcome: str
