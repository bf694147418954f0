"""Searchers that owners saw draining, before the platform marks them."""

from collections.abc import Iterable

#: How long one word of a drain counts, in seconds. Owners repeat it with
#: each answer, so that a drain that was taken back is forgotten soon.
_KEPT_S = 5


class DrainNews:
    """What owners' answers told; times in seconds of the loop's clock.

    Guards against work for a searcher that leaves, from nodes that it did
    not tell itself: it shows as an ask that comes back refused, and as
    commands refused again and again though another replica is well.
    """

    __slots__ = ('_until_by_searcher',)

    def __init__(self) -> None:
        """Start with none."""
        self._until_by_searcher: dict[str, float] = {}

    def heard(self, searcher_ids: Iterable[str], now: float) -> None:
        """Take an owner's word."""
        for searcher_id in searcher_ids:
            self._until_by_searcher[searcher_id] = now + _KEPT_S

    def without(self, searcher_ids: list[str], now: float) -> list[str]:
        """Return the searchers that may get new work, else all of them.

        Where all of them drain the owner has the last word: it may know
        already that one is back.
        """
        told = self._until_by_searcher
        staying = [one for one in searcher_ids if told.get(one, 0) <= now]
        return staying or searcher_ids
