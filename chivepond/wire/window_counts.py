"""Request counts of one time window."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class WindowCounts:
    """Requests of the last ``window_s`` seconds, counted by result.

    Keys of ``count_by_name`` are ``requests``, ``answered``, and for each
    missed objective its name, a space and the cause of the miss.
    """

    window_s: int
    count_by_name: dict[str, int]
