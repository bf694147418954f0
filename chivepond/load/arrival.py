"""One search that is meant to arrive."""

import dataclasses

from chivepond.load import stream


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """When it is due, in seconds of the trial, and what it asks."""

    due_s: float
    stream: stream.Stream
    caller: str
    entry: int
