"""Fingerprints of requests that searchers answered recently."""

#: Limits on the stored fingerprints: their number, and their age in seconds.
#: The age is bounded because a request that an older release of the searcher
#: answered may crash a newer one.
_MAX_FINGERPRINTS = 1000
_MAX_AGE_S = 120.0


class RecentReplies:
    """Stores the newest fingerprints; times are monotonic, in seconds."""

    __slots__ = ('_replied_at_by_fingerprint',)

    def __init__(self) -> None:
        """Start without fingerprints."""
        self._replied_at_by_fingerprint: dict[str, float] = {}

    def add(self, fingerprint: str, now: float) -> None:
        """Record that a searcher answered a request at ``now``."""
        self._replied_at_by_fingerprint.pop(fingerprint, None)
        if len(self._replied_at_by_fingerprint) >= _MAX_FINGERPRINTS:
            oldest = next(iter(self._replied_at_by_fingerprint))
            self._replied_at_by_fingerprint.pop(oldest)
        self._replied_at_by_fingerprint[fingerprint] = now

    def has(self, fingerprint: str, now: float) -> bool:
        """Return whether a searcher answered such a request recently."""
        replied_at = self._replied_at_by_fingerprint.get(fingerprint)
        return replied_at is not None and now - replied_at < _MAX_AGE_S
