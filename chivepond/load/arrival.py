"""One scheduled request."""

import dataclasses

from chivepond.load import stream


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """A request, with the time it is due in seconds from the trial's start.

    ``entry_number`` selects the entry host, modulo the number of entry hosts.
    """

    due_s: float
    stream: stream.Stream
    caller: str
    entry_number: int
