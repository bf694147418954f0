"""Searchers that owners saw draining, before the platform marks them."""

from collections.abc import Iterable

#: How long one word of a drain counts, in seconds. Owners repeat it with
#: each answer, so that a drain that was taken back is forgotten soon.
_KEPT_S = 5

#: How many are kept before those that are over are dropped.
_MOST_KEPT = 256


def staying(searcher_ids: list[str], draining: frozenset[str]) -> list[str]:
    """Return the searchers that do not drain, else all of them."""
    return [one for one in searcher_ids if one not in draining] or searcher_ids


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
        if len(self._until_by_searcher) > _MOST_KEPT:
            self._forget(now)

    def current(self, now: float) -> frozenset[str]:
        """Return the searchers that drain, as far as was told."""
        return frozenset(
            searcher_id
            for searcher_id, until in self._until_by_searcher.items()
            if until > now
        )

    def without(self, searcher_ids: list[str], now: float) -> list[str]:
        """Return the searchers that may get new work, else all of them.

        Where all of them drain the owner has the last word: it may know
        already that one is back.
        """
        return staying(searcher_ids, self.current(now))

    def _forget(self, now: float) -> None:
        draining = self.current(now)
        self._until_by_searcher = {
            searcher_id: until
            for searcher_id, until in self._until_by_searcher.items()
            if searcher_id in draining
        }
