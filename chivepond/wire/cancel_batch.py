"""Sub-queries that nobody waits for any more."""

import dataclasses

from chivepond.wire import attempt_ref


@dataclasses.dataclass(slots=True)
class CancelBatch:
    """What one POST /v1/cancel carries."""

    entries: list[attempt_ref.AttemptRef]
