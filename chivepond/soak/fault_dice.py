"""Which fault comes next."""

import random

from chivepond.standins import platform_faults, searcher_faults

_LATE_MS = 60
_SLOW_FACTOR = 15
_SLOW_PLATFORM_MS = 150
_LOST = 2


class FaultDice:
    """Draws faults from a generator passed in; none in about one of three."""

    __slots__ = ('_random',)

    def __init__(self, rng: random.Random) -> None:
        """Draw from ``rng``."""
        self._random = rng

    def searcher(self) -> searcher_faults.SearcherFaults:
        """Return faults for one searcher."""
        return self._random.choice(
            (
                searcher_faults.SearcherFaults(frozen=True),
                searcher_faults.SearcherFaults(silent=True),
                searcher_faults.SearcherFaults(late_ms=_LATE_MS),
                searcher_faults.SearcherFaults(twice=True),
                searcher_faults.SearcherFaults(wrong_version=True),
                searcher_faults.SearcherFaults(draining=True),
                searcher_faults.SearcherFaults(shedding=True),
                searcher_faults.SearcherFaults(slow_factor=_SLOW_FACTOR),
                *(searcher_faults.SearcherFaults() for _ in range(4)),
            ),
        )

    def platform(self) -> platform_faults.PlatformFaults:
        """Return faults for the platform."""
        return self._random.choice(
            (
                platform_faults.PlatformFaults(down=True),
                platform_faults.PlatformFaults(slow_ms=_SLOW_PLATFORM_MS),
                platform_faults.PlatformFaults(lose_replies=_LOST),
                platform_faults.PlatformFaults(),
            ),
        )
