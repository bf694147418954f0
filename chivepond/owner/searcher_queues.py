"""The queues of one owner, by searcher; those of gone searchers go."""

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
    """Opens a queue when it is needed, and keeps it up to date."""

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
        """Follow the configuration and the view of this node."""
        self._configuration = settings
        self._directory = hosts
        self._on_reply = on_reply
        self._queue_by_searcher: dict[str, searcher_queue.SearcherQueue] = {}
        self._watch = searcher_watch.SearcherWatch(hosts, rng)

    async def close(self) -> None:
        """End the work in flight and close all connections."""
        async with contextlib.AsyncExitStack() as queues:
            for found in self._queue_by_searcher.values():
                queues.push_async_exit(found)
        self._queue_by_searcher = {}

    def opened(self, searcher_id: str) -> searcher_queue.SearcherQueue | None:
        """Return a queue as it is, if it was opened and is still there."""
        return self._queue_by_searcher.get(searcher_id)

    def state_by_searcher(self) -> dict[str, str]:
        """Return the states of the searchers that have a queue here."""
        return {
            searcher_id: found.state.state
            for searcher_id, found in self._queue_by_searcher.items()
        }

    def queue(self, searcher_id: str) -> searcher_queue.SearcherQueue | None:
        """Return the queue of a searcher of this data centre, if known."""
        found = self._queue_by_searcher.get(searcher_id)
        searcher = self._directory.view.searcher_by_id.get(searcher_id)
        if searcher is None:
            return None
        if found is None:
            return self._open(searcher)
        capacity = self._configuration.capacity(searcher.service)
        if not found.is_current(searcher, capacity):
            self._update(found, searcher, capacity)
        return found

    def usable(
        self,
        replicas: list[str],
        tried: list[str],
        now: float,
    ) -> list[searcher_queue.SearcherQueue]:
        """Return whom a shard may be sent to, with their weights of now."""
        serving = []
        for searcher_id in replicas:
            found = self.queue(searcher_id)
            is_new = searcher_id not in tried
            if found is not None and is_new and not found.is_leaving:
                found.weight = found.state.weight(now) * found.trust.weight(now)
                serving.append(found)
        return _without_ejected(serving)

    def observe(self, searcher_id: str, has_failed: bool) -> None:
        """Take what became of one sub-query."""
        found = self._queue_by_searcher.get(searcher_id)
        if found is not None:
            self._watch.observe(found.host.service, searcher_id, has_failed)

    async def look(self, now: float) -> None:
        """Bring the queues up to date with what is known at ``now``."""
        for searcher_id in list(self._queue_by_searcher):
            self.queue(searcher_id)
        await self._watch.look(list(self._queue_by_searcher.values()), now)
        await self._drop_gone()

    async def _drop_gone(self) -> None:
        """Drop the queues of searchers that are gone, once they are idle.

        Guards against memory that grows with each replaced host, 560 a day:
        it shows as nodes that are restarted for want of memory after weeks.
        Work in flight keeps its queue. One that comes back starts cold, as
        it would have with its old queue.
        """
        for searcher_id, found in list(self._queue_by_searcher.items()):
            is_gone = found.state.state == searcher_state.GONE
            if is_gone and found.is_idle:
                self._queue_by_searcher.pop(searcher_id)
                await found.__aexit__(None, None, None)

    def _update(
        self,
        found: searcher_queue.SearcherQueue,
        searcher: host.Host,
        capacity: capacity_service.CapacityService,
    ) -> None:
        match address.parse(searcher.address):
            case result.Ok(target):
                found.adopt(searcher, target, capacity)

    def _open(
        self,
        searcher: host.Host,
    ) -> searcher_queue.SearcherQueue | None:
        match address.parse(searcher.address):
            case result.Ok(target):
                opened = searcher_queue.SearcherQueue(
                    searcher,
                    target,
                    self._configuration.capacity(searcher.service),
                    self._on_reply,
                )
                self._queue_by_searcher[searcher.host_id] = opened
                return opened
        return None


def _without_ejected(
    serving: list[searcher_queue.SearcherQueue],
) -> list[searcher_queue.SearcherQueue]:
    """Leave the ejected out, unless nobody else has the shard."""
    well = [
        found
        for found in serving
        if found.state.state != searcher_state.EJECTED
    ]
    return well or serving
