"""Which callers were admitted recently, and which exceeded an even share.

Load pattern: one caller sends most of an overload while a node has a limit of
three or four searches. At such limits the searches in flight do not separate a
hot caller from a quiet one: the hot caller has one search in flight, or none
for a moment, and takes each free slot before the others retry. So the last
``_WINDOW_SEARCHES`` admitted searches are counted by caller, and a caller with
more than twice the even share of them is hot.

The window is short enough to forget a caller within a second of load and long
enough that two consecutive searches of a quiet caller do not make it hot. It
is measured in searches, not in seconds, which bounds its memory.
"""

import collections

_WINDOW_SEARCHES = 32
_HOT_FACTOR = 2


class RecentCallers:
    """The callers of the most recently admitted searches."""

    __slots__ = ('_callers', '_count_by_caller')

    def __init__(self) -> None:
        """Start with an empty window."""
        self._callers: collections.deque[str] = collections.deque()
        self._count_by_caller: collections.Counter[str] = collections.Counter()

    def admitted(self, caller: str) -> None:
        """Record an admitted search of this caller."""
        self._callers.append(caller)
        self._count_by_caller[caller] += 1
        if len(self._callers) > _WINDOW_SEARCHES:
            oldest = self._callers.popleft()
            self._count_by_caller[oldest] -= 1
            if not self._count_by_caller[oldest]:
                self._count_by_caller.pop(oldest)

    def is_hot(self, caller: str) -> bool:
        """Tell whether a caller had more than twice the even share."""
        count = self._count_by_caller.get(caller, 0)
        even_share = len(self._callers) / max(1, len(self._count_by_caller))
        return count > even_share * _HOT_FACTOR
