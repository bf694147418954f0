"""Sends the requests of a search to its shards, and collects the results."""

import asyncio
import functools
import random
import types
from collections.abc import Callable, Coroutine, Iterable
from typing import Any, Protocol, Self

from chivepond.decisions import hedge_timing, shard_shedding
from chivepond.gateway import (
    forwarded_request,
    outcome,
    request_trace,
    routing_table,
    shard_results,
    upstream_request,
)
from chivepond.gateway import search as searches
from chivepond.settings import mechanism

Fallback = Callable[[], Coroutine[Any, Any, None]]


class _RunningRequest(Protocol):
    def keep_attempts_running(self) -> None:
        """Let running exchanges finish after the request is cancelled."""


class GroupTask(_RunningRequest, Protocol):
    """A group of shards that is requested through another gateway."""

    async def run(self) -> None:
        """Add the results, or mark the shards as missing."""


class ShardRequests:
    """The shard requests of one search; exit stops those that still run.

    If the search was answered, exchanges in flight may finish, so that their
    connections can be reused. If it was cancelled, the client has left, and
    closed connections tell the searchers at once.
    """

    __slots__ = (
        '_requests',
        '_unresponsive_tasks',
        '_upstream_by_shard',
        '_is_overdue',
        '_fallbacks',
        '_timing',
        '_route',
        '_tasks',
        '_context',
        '_trace',
        'shard_results',
    )

    def __init__(
        self,
        collected: shard_results.ShardResults,
        route: routing_table.Route,
        context: upstream_request.RequestContext,
        timing: hedge_timing.HedgeTiming,
        trace: request_trace.RequestTrace,
    ) -> None:
        """Collect the results in ``collected``."""
        self.shard_results = collected
        self._route = route
        self._context = context
        self._timing = timing
        self._trace = trace
        self._requests: list[_RunningRequest] = []
        self._fallbacks: list[Fallback] = []
        self._tasks: set[asyncio.Task[None]] = set()
        #: Whether the due time of the search has passed.
        self._is_overdue = False
        self._unresponsive_tasks: set[asyncio.Task[None]] = set()
        self._upstream_by_shard: dict[
            str, upstream_request.UpstreamRequest
        ] = {}

    def __enter__(self) -> Self:
        """Return the object itself."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Stop the requests that still run."""
        self.end(is_answered=error is None)

    def end(self, *, is_answered: bool) -> None:
        """Stop the requests that still run."""
        if is_answered:
            for request in self._requests:
                request.keep_attempts_running()
        for task in self._tasks:
            task.cancel()

    def give_up(self, reason: str) -> None:
        """Stop all requests, and mark the shards without a result."""
        collected = self.shard_results
        pending_shards = collected.pending_among(collected.shards)
        for shard in (*pending_shards, *collected.shed):
            upstream = self._upstream_by_shard.get(shard)
            may_have_run = upstream is not None and upstream.may_have_run
            collected.mark_missing(
                shard,
                reason,
                has_run=may_have_run,
                reached_no_searcher=not may_have_run,
            )
        collected.shed.clear()
        self.end(is_answered=False)

    def start_group(self, group: GroupTask) -> None:
        """Start a request for some of the shards through another gateway."""
        self._requests.append(group)
        self._tasks.add(asyncio.create_task(group.run()))

    def add_fallback(
        self,
        fallback: Fallback,
    ) -> None:
        """Add a coroutine function that runs if there are too few results.

        It is started at once if the search is overdue. Guards against a group
        whose first reply arrives after that, as when its host was paused: the
        request for the remaining results was never sent, and the search ended
        at its deadline, more than a second later, although they were ready.
        """
        self._fallbacks.append(fallback)
        if self._is_overdue and not self.shard_results.is_enough:
            self.start_fallbacks()

    def start_direct(
        self,
        shards: Iterable[str],
        search: searches.Search,
        *,
        is_moved: bool,
    ) -> None:
        """Start requests for ``shards`` from this gateway.

        ``is_moved`` tells that another gateway reported them as not sent.
        """
        times = upstream_request.Times(search.answer_at, search.deadline)
        self.start(shards, search.request, times, is_moved=is_moved)

    def start(
        self,
        shards: Iterable[str],
        request: forwarded_request.ForwardedRequest,
        times: upstream_request.Times,
        *,
        is_moved: bool = False,
    ) -> None:
        """Start requests for ``shards``; shed ones become fallbacks."""
        requested_shards = list(shards)
        shed = self._choose_shed(requested_shards, times)
        self.shard_results.shed |= shed
        if shed:
            self.add_fallback(
                functools.partial(
                    self._start_shed, shed, request, times, is_moved=is_moved
                ),
            )
        self._start_requests(
            [shard for shard in requested_shards if shard not in shed],
            request,
            times,
            is_moved=is_moved,
        )

    def start_fallbacks(self) -> None:
        """Start all fallbacks that were added."""
        fallback_tasks = {
            asyncio.create_task(fallback()) for fallback in self._fallbacks
        }
        self._fallbacks.clear()
        self._tasks |= fallback_tasks
        self._unresponsive_tasks |= fallback_tasks

    async def wait_all(self, until: float) -> None:
        """Wait for all tasks, including those that are added meanwhile.

        Waits for shards whose searchers have not replied recently only if the
        other results are too few: a shard that is down would delay each
        response to its target latency.
        """
        try:
            async with asyncio.timeout_at(until):
                await self._wait_responsive()
                while (
                    not self.shard_results.is_enough
                    and await self._wait_one_unresponsive()
                ):
                    await self._wait_responsive()
        except TimeoutError:
            return

    async def wait_enough(self, until: float) -> None:
        """Wait until there are enough results, or can't be any more."""
        self._is_overdue = True
        if not self.shard_results.is_enough:
            self.start_fallbacks()
        try:
            async with asyncio.timeout_at(until):
                await self.shard_results.settled.wait()
        except TimeoutError:
            return

    def _choose_shed(
        self,
        shards: list[str],
        times: upstream_request.Times,
    ) -> frozenset[str]:
        """Return the shards to request only if the other results are too few.

        They are the shards that are expected to reply too late.
        """
        max_shed = shard_shedding.max_shed(
            len(shards),
            self.shard_results.least_share,
            random.random,
        )
        is_on = self._context.switches.is_on(mechanism.Mechanism.SHARD_SHEDDING)
        left_s = times.due - asyncio.get_running_loop().time()
        if not (max_shed and is_on and left_s > 0):
            return frozenset()
        expected_s = self._context.selection.expected_s
        return shard_shedding.shards_to_shed(
            {shard: expected_s(shard) for shard in shards},
            left_s,
            max_shed,
            random.random,
        )

    async def _start_shed(
        self,
        shards: frozenset[str],
        request: forwarded_request.ForwardedRequest,
        times: upstream_request.Times,
        *,
        is_moved: bool,
    ) -> None:
        self.shard_results.shed -= shards
        self._start_requests(shards, request, times, is_moved=is_moved)

    def _start_requests(
        self,
        shards: Iterable[str],
        request: forwarded_request.ForwardedRequest,
        times: upstream_request.Times,
        *,
        is_moved: bool,
    ) -> None:
        for shard in shards:
            upstream = upstream_request.UpstreamRequest(
                shard,
                request,
                self._route,
                self._context,
                self._trace,
                is_moved=is_moved,
            )
            self._requests.append(upstream)
            self._upstream_by_shard[shard] = upstream
            task = asyncio.create_task(self._run_request(upstream, times))
            self._tasks.add(task)
            if self._context.selection.is_hopeless(shard):
                self._unresponsive_tasks.add(task)

    async def _wait_responsive(self) -> None:
        while responsive_tasks := self._pending() - self._unresponsive_tasks:
            await asyncio.wait(responsive_tasks)

    async def _wait_one_unresponsive(self) -> bool:
        """Wait for one task of an unresponsive shard.

        Returns false if no task is pending.
        """
        self.start_fallbacks()
        pending = self._pending()
        if pending:
            await asyncio.wait(
                pending,
                return_when=asyncio.FIRST_COMPLETED,
            )
        return bool(pending)

    def _pending(self) -> set[asyncio.Task[None]]:
        return {task for task in self._tasks if not task.done()}

    async def _run_request(
        self,
        upstream: upstream_request.UpstreamRequest,
        times: upstream_request.Times,
    ) -> None:
        match await upstream.run(times, self._timing):
            case outcome.Reply() as reply:
                self.shard_results.add_reply(upstream.service, reply)
            case upstream_request.UpstreamFailure() as failure:
                self.shard_results.mark_missing(
                    upstream.service,
                    failure.reason,
                    has_run=failure.may_have_run,
                    reached_no_searcher=failure.reached_no_searcher,
                )
