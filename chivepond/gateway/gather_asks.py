"""Asks the shards of one gathered request, and collects the parts."""

import asyncio
import types
from collections.abc import Iterable
from typing import Self

from chivepond.decisions import second_ask_time
from chivepond.gateway import (
    forwarded_request,
    gathering,
    outcome,
    request_trace,
    routing_table,
    service_ask,
)


class GatherAsks:
    """The asks of one request; leaving it ends what still runs.

    Where the request was answered, exchanges in flight may end by
    themselves, which keeps their connections; where it was cancelled, the
    caller has left and the searchers learn it at once.
    """

    __slots__ = (
        '_asks',
        '_doubtful',
        '_late',
        '_route',
        '_tasks',
        '_tools',
        '_trace',
        'parts',
    )

    def __init__(
        self,
        parts: gathering.Gathering,
        route: routing_table.Route,
        tools: service_ask.AskTools,
        late: second_ask_time.SecondAskTime,
        trace: request_trace.RequestTrace,
    ) -> None:
        """Collect into ``parts``."""
        self.parts = parts
        self._route = route
        self._tools = tools
        self._late = late
        self._trace = trace
        self._asks: list[service_ask.ServiceAsk] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._doubtful: set[asyncio.Task[None]] = set()

    def __enter__(self) -> Self:
        """Return the asks."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """End what still runs."""
        self.end(is_answered=error is None)

    def end(self, *, is_answered: bool) -> None:
        """End what still runs."""
        if is_answered:
            for ask in self._asks:
                ask.leave_running()
        for task in self._tasks:
            task.cancel()

    def add(self, task: asyncio.Task[None]) -> None:
        """Wait for one more task."""
        self._tasks.add(task)

    def ask(
        self,
        shards: Iterable[str],
        request: forwarded_request.ForwardedRequest,
        deadline: float,
    ) -> None:
        """Begin to ask each of ``shards`` from here."""
        for shard in shards:
            ask = service_ask.ServiceAsk(
                shard,
                request,
                self._route,
                self._tools,
                self._trace,
            )
            self._asks.append(ask)
            task = asyncio.create_task(self._ask_one(ask, deadline))
            self.add(task)
            if self._tools.searchers.is_doubtful(shard):
                self._doubtful.add(task)

    async def wait_all(self, until: float) -> None:
        """Wait for all tasks, those that are added meanwhile included.

        Shards of which no searcher replied lately are waited for only where
        there are too few parts without them: one that is down would hold up
        each answer to its target latency.
        """
        loop = asyncio.get_running_loop()
        while True:
            pending = {task for task in self._tasks if not task.done()}
            if self.parts.is_enough:
                pending -= self._doubtful
            left_s = until - loop.time()
            if not pending or left_s <= 0:
                return
            hopeful = pending - self._doubtful
            await asyncio.wait(hopeful or pending, timeout=left_s)

    async def wait_enough(self, until: float) -> None:
        """Wait until the parts are enough, or can't be any more."""
        try:
            async with asyncio.timeout_at(until):
                await self.parts.settled.wait()
        except TimeoutError:
            return

    async def _ask_one(
        self,
        ask: service_ask.ServiceAsk,
        deadline: float,
    ) -> None:
        match await ask.run(deadline, self._late):
            case outcome.Reply() as reply:
                self.parts.take(ask.service, reply)
            case service_ask.GaveUp() as gave_up:
                self.parts.miss(
                    ask.service,
                    gave_up.reason,
                    has_run=gave_up.may_have_run,
                    is_unasked=gave_up.is_unasked,
                )
