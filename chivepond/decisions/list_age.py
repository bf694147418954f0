"""How old a copy of a list in the store may be."""

import math


class ListAge:
    """Tracks the age of a copy; times are in seconds of a steady clock."""

    __slots__ = ('_max_age_s', 'current_since', 'verified_at')

    def __init__(self, max_age_s: float) -> None:
        """Start with a copy of unknown age; it may be ``max_age_s`` old."""
        self._max_age_s = max_age_s
        #: A time since which nothing that the store had is missing. It is
        #: never too late, however long a reply was on its way.
        self.verified_at = -math.inf
        #: Since when the copy has never been too old.
        self.current_since = math.inf

    def verify(self, verified_at: float, now: float) -> None:
        """Record that a read that began at ``verified_at`` is applied."""
        if not self.is_current(now):
            self.current_since = now
        self.verified_at = max(self.verified_at, verified_at)

    def is_current(self, now: float) -> bool:
        """Tell whether the copy is recent enough."""
        return now <= self.verified_at + self._max_age_s
