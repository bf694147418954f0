"""One kind of log event."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Event:
    """A numbered event; ``meaning`` goes into docs/EVENTS.md."""

    number: int
    level: str
    text: str
    meaning: str
