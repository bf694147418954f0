"""Counts over sliding windows of time, in bounded memory."""

from array import array

#: Names beyond this many share the column OTHER.
MAX_COLUMNS = 32
OTHER = 'other'


class TimeRing:
    """A ring buffer of time slots, with one column of counts for each name.

    Times are in seconds of a monotonic clock.
    """

    __slots__ = ('_column_by_name', '_head', '_slot_s', '_slots')

    def __init__(self, slot_s: int, slots: int) -> None:
        """Keep counts of the last ``slots * slot_s`` seconds."""
        self._slot_s = slot_s
        self._slots = slots
        self._head = 0
        self._column_by_name: dict[str, array[int]] = {}

    def add(self, name: str, now: float) -> None:
        """Add one to the count of ``name`` at the time ``now``."""
        self._advance(now)
        self._column(name)[self._head % self._slots] += 1

    def total_by_name(self, window_s: int, now: float) -> dict[str, int]:
        """Return the counts by name over the last ``window_s`` seconds."""
        self._advance(now)
        window_slots = min(self._slots, window_s // self._slot_s)
        slot_indexes = [
            (self._head - age) % self._slots
            for age in range(min(window_slots, self._head + 1))
        ]
        return {
            name: sum(column[slot] for slot in slot_indexes)
            for name, column in self._column_by_name.items()
        }

    def _column(self, name: str) -> 'array[int]':
        column = self._column_by_name.get(name)
        if column is None:
            if len(self._column_by_name) >= MAX_COLUMNS and name != OTHER:
                return self._column(OTHER)
            column = array('L', bytes(array('L').itemsize * self._slots))
            self._column_by_name[name] = column
        return column

    def _advance(self, now: float) -> None:
        """Clear the slots between the last head and ``now``.

        Otherwise counts from an earlier turn of the ring would be reported
        inside the window.
        """
        head = int(now // self._slot_s)
        first_slot = max(self._head, head - self._slots) + 1
        for slot in range(first_slot, head + 1):
            for column in self._column_by_name.values():
                column[slot % self._slots] = 0
        self._head = max(self._head, head)
