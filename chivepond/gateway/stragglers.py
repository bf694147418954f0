"""Exchanges that nobody waits for any more, ended after a while."""

import asyncio

from chivepond.gateway import closing

#: How long an exchange may go on after its request was answered, in seconds.
#: Its end keeps the connection and tells how the searcher does; a searcher
#: that still works half a second after the caller left works for nobody.
_LEFT_S = 0.35


class Stragglers(closing.Closing):
    """Holds exchanges until they end by themselves or are cancelled."""

    __slots__ = ('_tasks',)

    def __init__(self) -> None:
        """Hold none."""
        self._tasks: set[asyncio.Task[object]] = set()

    def close(self) -> None:
        """End them all."""
        for task in self._tasks:
            task.cancel()

    def keep(self, task: asyncio.Task[object]) -> None:
        """Let an exchange go on for a little while."""
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        asyncio.get_running_loop().call_later(_LEFT_S, task.cancel)
