"""Copies of platform objects, which only ever get newer."""

from collections.abc import Callable

import xxhash

from chivepond.wire import notice

_Listener = Callable[[notice.Notice], None]


class ObjectCache:
    """The highest version seen of each object that every node keeps.

    Guards against reverting: replies, relays and peers may hand on old
    versions in any order, which would show as a configuration that goes
    back. Versions of the platform rise over all objects, so the highest
    one is the newest, whoever brought it.
    """

    __slots__ = ('_listeners', 'by_key', 'digest')

    def __init__(self) -> None:
        """Start with nothing known; ``digest`` names what is held."""
        self.digest = ''
        self.by_key: dict[str, notice.Notice] = {}
        self._listeners: list[_Listener] = []

    def listen(self, listener: _Listener) -> None:
        """Call ``listener`` with each notice that is news."""
        self._listeners.append(listener)

    def offer(self, offered: notice.Notice) -> bool:
        """Keep a notice if it is newer; tell whether it was."""
        known = self.by_key.get(offered.key)
        if known is not None and known.version >= offered.version:
            return False
        self.by_key[offered.key] = offered
        versions = sorted(self.version_by_key().items())
        self.digest = xxhash.xxh3_64_hexdigest(repr(versions).encode())
        for listener in self._listeners:
            listener(offered)
        return True

    def version_by_key(self) -> dict[str, int]:
        """Return what is known, without the bodies."""
        return {key: known.version for key, known in self.by_key.items()}
