"""Fingerprints of requests that searchers replied to lately."""

#: How many are kept, and for how long, in seconds. Searchers change: what was
#: sound with an older release may crash the next one.
_KEPT = 1000
_RECENT_S = 120.0


class RecentAnswers:
    """Remembers the newest; times are in seconds on the steady clock."""

    __slots__ = ('_at_by_fingerprint',)

    def __init__(self) -> None:
        """Remember none."""
        self._at_by_fingerprint: dict[str, float] = {}

    def add(self, fingerprint: str, now: float) -> None:
        """Take that a searcher replied."""
        self._at_by_fingerprint.pop(fingerprint, None)
        if len(self._at_by_fingerprint) >= _KEPT:
            oldest = next(iter(self._at_by_fingerprint))
            self._at_by_fingerprint.pop(oldest)
        self._at_by_fingerprint[fingerprint] = now

    def has(self, fingerprint: str, now: float) -> bool:
        """Tell whether one replied lately."""
        answered_at = self._at_by_fingerprint.get(fingerprint)
        return answered_at is not None and now - answered_at < _RECENT_S
