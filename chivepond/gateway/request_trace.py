"""Counters and notes of one request for its log event."""

from collections.abc import Callable

#: Maximum notes per request. A fault of many shards repeats the same note.
_MAX_NOTES = 24
_MS_PER_S = 1000


class RequestTrace:
    """Counts the sends of a request, and collects notes on unusual events."""

    __slots__ = ('_started_at', '_clock', 'notes', 'second_sends', 'sends')

    def __init__(self, clock: Callable[[], float], started_at: float) -> None:
        """Note times of ``clock`` as milliseconds after ``started_at``."""
        self._clock = clock
        self._started_at = started_at
        self.sends = 0
        self.second_sends = 0
        self.notes: list[str] = []

    def send(self, service: str, receiver: str, *, is_second: bool) -> None:
        """Count a send; add a note if it is a second send."""
        self.sends += 1
        if is_second:
            self.second_sends += 1
            self.note(f'{service}: second send, to {receiver}')

    def note(self, text: str) -> None:
        """Add a note with its time, up to the maximum."""
        if len(self.notes) < _MAX_NOTES:
            after_ms = (self._clock() - self._started_at) * _MS_PER_S
            self.notes.append(f'{after_ms:.0f}ms {text}')
