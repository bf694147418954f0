"""The queues of one owner, one for each searcher in use."""

import contextlib
import random

import result

from chivepond.control import configuration, directory
from chivepond.owner import (
    batch_sender,
    searcher_queue,
    searcher_state,
    searcher_watch,
)
from chivepond.settings import capacity_service
from chivepond.transport import address
from chivepond.wire import host


class SearcherQueues:
    """Opens queues on first use, updates them, and drops unlisted ones.

    Addresses and states come from the host directory, capacities from the
    configuration.
    """

    __slots__ = (
        '_configuration',
        '_directory',
        '_on_reply',
        '_queue_by_searcher',
        '_watch',
    )

    def __init__(
        self,
        settings: configuration.Configuration,
        hosts: directory.Directory,
        rng: random.Random,
        on_reply: batch_sender.OnReply,
    ) -> None:
        """Use the configuration and the host directory of this node."""
        self._configuration = settings
        self._directory = hosts
        self._on_reply = on_reply
        self._queue_by_searcher: dict[str, searcher_queue.SearcherQueue] = {}
        self._watch = searcher_watch.SearcherWatch(hosts, rng)

    async def close(self) -> None:
        """Wait for batches in flight, then close all connections."""
        async with contextlib.AsyncExitStack() as queues:
            for open_queue in self._queue_by_searcher.values():
                queues.push_async_exit(open_queue)
        self._queue_by_searcher = {}

    def existing_queue(
        self, searcher_id: str
    ) -> searcher_queue.SearcherQueue | None:
        """Return the open queue of a searcher without updating it, or None."""
        return self._queue_by_searcher.get(searcher_id)

    def state_by_searcher(self) -> dict[str, str]:
        """Return the state of each searcher that has an open queue."""
        return {
            searcher_id: open_queue.state.state
            for searcher_id, open_queue in self._queue_by_searcher.items()
        }

    def queue(self, searcher_id: str) -> searcher_queue.SearcherQueue | None:
        """Return the queue of a searcher, opened and updated as needed.

        Returns None if the directory doesn't list the searcher, or if its
        address can't be parsed.
        """
        open_queue = self._queue_by_searcher.get(searcher_id)
        searcher = self._directory.view.searcher_by_id.get(searcher_id)
        if searcher is None:
            return None
        if open_queue is None:
            return self._open(searcher)
        capacity = self._configuration.capacity(searcher.service)
        if not open_queue.is_current(searcher, capacity):
            self._update(open_queue, searcher, capacity)
        return open_queue

    def usable(
        self,
        replicas: list[str],
        tried: list[str],
        now: float,
    ) -> list[searcher_queue.SearcherQueue]:
        """Return the queues that a shard may be sent to, weights updated.

        Leaves out searchers that are in ``tried``, unlisted, draining or
        gone, and ejected ones as long as another replica remains.
        """
        serving = []
        for searcher_id in replicas:
            open_queue = self.queue(searcher_id)
            is_new = searcher_id not in tried
            if open_queue is not None and is_new and not open_queue.is_leaving:
                open_queue.weight = open_queue.state.weight(
                    now
                ) * open_queue.trust.weight(now)
                serving.append(open_queue)
        return _without_ejected(serving)

    def observe(self, searcher_id: str, has_failed: bool) -> None:
        """Count one sub-query of a searcher as succeeded or failed."""
        open_queue = self._queue_by_searcher.get(searcher_id)
        if open_queue is not None:
            self._watch.observe(
                open_queue.host.service, searcher_id, has_failed
            )

    async def refresh(self, now: float) -> None:
        """Update queues and searcher states, and drop queues of gone ones."""
        for searcher_id in list(self._queue_by_searcher):
            self.queue(searcher_id)
        await self._watch.update_states(
            list(self._queue_by_searcher.values()), now
        )
        await self._drop_gone()

    async def _drop_gone(self) -> None:
        """Drop the queue of each gone searcher once it is idle.

        About 560 hosts are replaced a day. If each left its queue behind,
        nodes would run out of memory after weeks. A queue with work in
        flight stays. A searcher that returns starts cold, as it would with
        its old queue.
        """
        for searcher_id, open_queue in list(self._queue_by_searcher.items()):
            is_gone = open_queue.state.state == searcher_state.GONE
            if is_gone and open_queue.is_idle:
                self._queue_by_searcher.pop(searcher_id)
                await open_queue.__aexit__(None, None, None)

    def _update(
        self,
        open_queue: searcher_queue.SearcherQueue,
        searcher: host.Host,
        capacity: capacity_service.CapacityService,
    ) -> None:
        match address.parse(searcher.address):
            case result.Ok(target):
                open_queue.update(searcher, target, capacity)

    def _open(
        self,
        searcher: host.Host,
    ) -> searcher_queue.SearcherQueue | None:
        match address.parse(searcher.address):
            case result.Ok(target):
                new_queue = searcher_queue.SearcherQueue(
                    searcher,
                    target,
                    self._configuration.capacity(searcher.service),
                    self._on_reply,
                )
                self._queue_by_searcher[searcher.host_id] = new_queue
                return new_queue
        return None


def _without_ejected(
    serving: list[searcher_queue.SearcherQueue],
) -> list[searcher_queue.SearcherQueue]:
    """Leave out ejected searchers, unless all are ejected."""
    healthy = [
        open_queue
        for open_queue in serving
        if open_queue.state.state != searcher_state.EJECTED
    ]
    return healthy or serving
