"""The commands that wait for a slot of one searcher."""

import asyncio
import collections


class SlotWaiters:
    """Grants slots first come, first served; ``held`` counts those granted."""

    __slots__ = ('_waiting', 'held')

    def __init__(self) -> None:
        """Start with no waiter and no slot held."""
        self.held = 0
        self._waiting: collections.deque[asyncio.Future[bool]] = (
            collections.deque()
        )

    @property
    def is_in_use(self) -> bool:
        """Whether a slot is held or requested."""
        is_waited_for = any(not waiter.done() for waiter in self._waiting)
        return is_waited_for or self.held > 0

    def request_slot(self) -> asyncio.Future[bool]:
        """Return a future: true once a slot is granted, false if refused."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiting.append(waiter)
        return waiter

    def grant(self, free_slots: int) -> None:
        """Grant up to ``free_slots`` slots to the oldest waiters."""
        while self._waiting and free_slots > 0:
            waiter = self._waiting.popleft()
            if not waiter.done():
                self.held += 1
                free_slots -= 1
                waiter.set_result(True)

    def reject_all(self) -> None:
        """Resolve all waiters with false: no slot will be granted."""
        while self._waiting:
            waiter = self._waiting.popleft()
            if not waiter.done():
                waiter.set_result(False)

    def release(self, waiter: asyncio.Future[bool]) -> None:
        """Return the slot of a waiter, or withdraw its request.

        A waiter that is cancelled must release its slot as well; otherwise
        the slot is lost for good, and the searcher serves less and less.
        """
        waiter.cancel()
        self.held -= has_slot(waiter)


def has_slot(waiter: asyncio.Future[bool]) -> bool:
    """Tell whether ``waiter`` was granted a slot."""
    return waiter.done() and not waiter.cancelled() and waiter.result()
