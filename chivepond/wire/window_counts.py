"""Counts of one window of time."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class WindowCounts:
    """Requests of the last ``window_s`` seconds, by what became of them.

    A key of ``count_by_name`` is ``requests``, ``answered``, or an
    objective, a space and the cause of the miss.
    """

    window_s: int
    count_by_name: dict[str, int]
