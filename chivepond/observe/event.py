"""One kind of log event."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Event:
    """A log event with a stable number.

    ``text`` is logged; ``meaning`` describes the event in docs/EVENTS.md.
    """

    number: int
    level: str
    text: str
    meaning: str
