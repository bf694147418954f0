"""Cached copies of platform objects; versions never decrease."""

from collections.abc import Callable

import xxhash

from chivepond.wire import notice

_Listener = Callable[[notice.Notice], None]


class ObjectCache:
    """The highest version received of each object that all nodes replicate.

    Guards against a configuration that reverts: platform replies and peers
    may deliver old versions in any order. The platform numbers versions
    across all objects, so the highest one is the newest, whatever its
    source.
    """

    __slots__ = ('_listeners', 'by_key', 'digest')

    def __init__(self) -> None:
        """Start empty; ``digest`` is a hash of all cached keys and versions."""
        self.digest = ''
        self.by_key: dict[str, notice.Notice] = {}
        self._listeners: list[_Listener] = []

    def listen(self, listener: _Listener) -> None:
        """Call ``listener`` with each notice that replaces an older version."""
        self._listeners.append(listener)

    def offer(self, update: notice.Notice) -> bool:
        """Store a notice if it is newer than the copy; tell whether it was."""
        cached = self.by_key.get(update.key)
        if cached is not None and cached.version >= update.version:
            return False
        self.by_key[update.key] = update
        versions = sorted(self.version_by_key().items())
        self.digest = xxhash.xxh3_64_hexdigest(repr(versions).encode())
        for listener in self._listeners:
            listener(update)
        return True

    def version_by_key(self) -> dict[str, int]:
        """Return the cached version of each object by key."""
        return {key: cached.version for key, cached in self.by_key.items()}
