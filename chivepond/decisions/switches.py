"""Which load mechanisms are switched on.

Operators can switch off a mechanism that misbehaves under an unforeseen load
through the settings, without waiting for a release.
"""

from collections.abc import Iterable

from chivepond.settings import mechanism


class Switches:
    """The mechanisms that an operator switched off; the set may change."""

    __slots__ = ('off',)

    def __init__(self, off: Iterable[mechanism.Mechanism] = ()) -> None:
        """Switch on all mechanisms but those in ``off``."""
        self.off = frozenset(off)

    def is_on(self, member: mechanism.Mechanism) -> bool:
        """Tell whether a mechanism is on."""
        return member not in self.off
