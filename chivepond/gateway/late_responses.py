"""Exchanges that may finish after their request was answered."""

import asyncio

from chivepond.gateway import closeable

#: How long an exchange may continue after its request was answered, in
#: seconds. If it finishes, its connection can be reused, and its outcome counts
#: for the health of the searcher. A searcher that still runs a request
#: half a second after the client left does useless work.
_GRACE_S = 0.35


class LateResponses(closeable.Closeable):
    """Keeps exchanges running for a bounded time, then cancels them."""

    __slots__ = ('_probed_searchers', '_tasks')

    def __init__(self) -> None:
        """Start without exchanges."""
        self._tasks: set[asyncio.Task[object]] = set()
        #: Identifiers of searchers with an exchange that runs as a probe.
        self._probed_searchers: set[str] = set()

    def close(self) -> None:
        """Cancel all exchanges."""
        for task in self._tasks:
            task.cancel()

    def keep_probe(self, task: asyncio.Task[object], searcher_id: str) -> None:
        """Let one exchange per searcher continue, and cancel any other.

        Guards against a backlog of abandoned requests: another searcher has
        answered those that were sent before a pause, yet the paused searcher
        processes them afterwards, and the next searches are late as well. The
        remaining exchange shows when the pause is over.
        """
        if searcher_id in self._probed_searchers:
            task.cancel()
            return
        self._probed_searchers.add(searcher_id)
        task.add_done_callback(
            lambda _: self._probed_searchers.discard(searcher_id)
        )
        self.keep(task)

    def keep(self, task: asyncio.Task[object]) -> None:
        """Let an exchange continue for at most ``_GRACE_S`` seconds."""
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        asyncio.get_running_loop().call_later(_GRACE_S, task.cancel)
