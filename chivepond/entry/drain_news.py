"""Draining searchers as reported by owners, ahead of the platform."""

from collections.abc import Iterable

#: How long a drain report is valid, in seconds. Owners repeat it with each
#: answer, so the report of a drain that was cancelled expires soon.
_REPORT_TTL_S = 5

#: Expired reports are dropped once there are more reports than this.
_PRUNE_THRESHOLD = 256


def not_draining(
    searcher_ids: list[str], draining: frozenset[str]
) -> list[str]:
    """Return the searchers that are not draining, or all if all drain."""
    return [
        searcher_id
        for searcher_id in searcher_ids
        if searcher_id not in draining
    ] or searcher_ids


class DrainNews:
    """Drain reports from owners' answers; times in seconds, loop clock.

    A draining searcher tells only its owner. Without these reports other
    nodes go on choosing it: searches are refused and sent again, and
    commands are refused repeatedly although another replica is healthy.
    """

    __slots__ = ('_expires_at_by_searcher',)

    def __init__(self) -> None:
        """Start without reports."""
        self._expires_at_by_searcher: dict[str, float] = {}

    def record(self, searcher_ids: Iterable[str], now: float) -> None:
        """Record that an owner reports these searchers as draining."""
        for searcher_id in searcher_ids:
            self._expires_at_by_searcher[searcher_id] = now + _REPORT_TTL_S
        if len(self._expires_at_by_searcher) > _PRUNE_THRESHOLD:
            self._prune(now)

    def draining_ids(self, now: float) -> frozenset[str]:
        """Return the searchers whose drain report has not expired."""
        return frozenset(
            searcher_id
            for searcher_id, expires_at in self._expires_at_by_searcher.items()
            if expires_at > now
        )

    def exclude_draining(
        self, searcher_ids: list[str], now: float
    ) -> list[str]:
        """Return the searchers that are not draining, or all if all drain.

        If all of them drain the owner decides, since it may already know
        that one of them is available again.
        """
        return not_draining(searcher_ids, self.draining_ids(now))

    def _prune(self, now: float) -> None:
        draining = self.draining_ids(now)
        self._expires_at_by_searcher = {
            searcher_id: expires_at
            for searcher_id, expires_at in self._expires_at_by_searcher.items()
            if searcher_id in draining
        }
