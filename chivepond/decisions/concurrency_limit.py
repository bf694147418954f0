"""How many batches a searcher gets at once.

Load pattern: a searcher that sheds below its slots, because others use
them or because it is in trouble. Without a learned limit its owner keeps
sending what comes back refused. The limit halves on a refusal and grows by
one after a row of batches that went well; it never passes the slots and
never falls below one, so that recovery is noticed.
"""

_GOOD_ROW = 10


class ConcurrencyLimit:
    """Additive increase, multiplicative decrease, capped by the slots."""

    __slots__ = ('_good', 'current', 'slots')

    def __init__(self, slots: int) -> None:
        """Start at the slots: they are a promise of the capacity owners."""
        self.slots = slots
        self.current = slots
        self._good = 0

    def succeeded(self) -> None:
        """Take a batch that was not refused."""
        self._good += 1
        if self._good >= _GOOD_ROW and self.current < self.slots:
            self.current += 1
            self._good = 0

    def refused(self) -> None:
        """Take a batch that the searcher shed."""
        self.current = max(1, self.current // 2)
        self._good = 0

    def resize(self, slots: int) -> None:
        """Take a new number of slots; a learned lower limit is kept."""
        is_full = self.current == self.slots
        self.slots = slots
        self.current = slots if is_full else min(self.current, slots)
