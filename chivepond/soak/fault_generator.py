"""Draws the next fault of a soak at random."""

import random

from chivepond.standins import platform_faults, searcher_faults

_REPLY_DELAY_MS = 60
_SLOW_FACTOR = 15
_SLOW_PLATFORM_MS = 150
_LOST_REPLIES = 2


class FaultGenerator:
    """Draws faults; one in three or four draws has no fault."""

    __slots__ = ('_random',)

    def __init__(self, rng: random.Random) -> None:
        """Use ``rng`` for all draws."""
        self._random = rng

    def draw_searcher_faults(self) -> searcher_faults.SearcherFaults:
        """Return one fault for a searcher, or none in 4 of 12 draws."""
        return self._random.choice(
            (
                searcher_faults.SearcherFaults(frozen=True),
                searcher_faults.SearcherFaults(silent=True),
                searcher_faults.SearcherFaults(late_ms=_REPLY_DELAY_MS),
                searcher_faults.SearcherFaults(twice=True),
                searcher_faults.SearcherFaults(wrong_version=True),
                searcher_faults.SearcherFaults(draining=True),
                searcher_faults.SearcherFaults(shedding=True),
                searcher_faults.SearcherFaults(slow_factor=_SLOW_FACTOR),
                *(searcher_faults.SearcherFaults() for _ in range(4)),
            ),
        )

    def draw_platform_faults(self) -> platform_faults.PlatformFaults:
        """Return one fault for the platform, or none in 1 of 4 draws."""
        return self._random.choice(
            (
                platform_faults.PlatformFaults(down=True),
                platform_faults.PlatformFaults(slow_ms=_SLOW_PLATFORM_MS),
                platform_faults.PlatformFaults(lose_replies=_LOST_REPLIES),
                platform_faults.PlatformFaults(),
            ),
        )
