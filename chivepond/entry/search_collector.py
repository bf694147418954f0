"""Collects answers from owners until a search can be answered."""

import asyncio
import contextlib
import math

import result

from chivepond.control import catalog, shard_index
from chivepond.decisions import answer_time, owner_hedge
from chivepond.entry import owner_ask, owner_asks, search_state
from chivepond.settings import answer_policy
from chivepond.wire import shard_outcome

_MS_PER_S = 1000
_MIN_RESEND_TIME_S = 0.01
#: The shortest wait; with less, rounding of times could cause a busy loop.
_MIN_WAIT_S = 0.0005
_RequestByTask = dict[owner_ask.OwnerTask, owner_ask.OwnerRequest]
_DoneQueue = asyncio.Queue[owner_ask.OwnerTask]


class SearchCollector:
    """Runs searches, each on one index version."""

    __slots__ = ('_catalog', '_hedge', '_sender')

    def __init__(
        self,
        sender: owner_asks.OwnerRequestSender,
        hedge: owner_hedge.OwnerHedge,
        index_catalog: catalog.Catalog,
    ) -> None:
        """Send by ``sender``; look up newer versions in ``index_catalog``."""
        self._hedge = hedge
        self._sender = sender
        self._catalog = index_catalog

    async def run(
        self,
        state: search_state.SearchState,
        policy: answer_policy.AnswerPolicy,
        started_at: float,
        is_pinned: bool,
    ) -> search_state.SearchState:
        """Run a search; restart it if its index version is withdrawn.

        A version that is withdrawn during a search leaves shards that no
        searcher has any more. The whole search then runs on the newer
        version; results of two versions are never merged. The result that
        covers more shards is returned, since the time left may be too short
        for the newer version. A search with a cursor (``is_pinned``) is not
        restarted. ``started_at`` is in seconds, loop clock.
        """
        await self._collect(state, policy, started_at)
        newer = self._catalog.current(state.request.service)
        is_stale = state.is_withdrawn and not is_pinned
        has_time = state.deadline - _now() > _MIN_RESEND_TIME_S
        if is_stale and has_time and _is_newer(newer, state.index):
            retry_state = search_state.SearchState(
                request=state.request,
                request_id=f'{state.request_id}.{newer.version}',
                index=newer,
                deadline=state.deadline,
                wanted=state.wanted,
                attempts=state.attempts,
            )
            await self._collect(retry_state, policy, started_at)
            retry_state.request_id = state.request_id
            return max(retry_state, state, key=_covered)
        return state

    async def _collect(
        self,
        state: search_state.SearchState,
        policy: answer_policy.AnswerPolicy,
        started_at: float,
    ) -> None:
        """Send requests for all shards, and resend those that stay missing.

        One slow owner would otherwise delay every search to its deadline.
        Shards that an owner has not answered by ``hedge_at`` are requested
        from another owner as well.
        """
        self._hedge.needed(len(state.index.searchers_by_shard))
        done_queue: _DoneQueue = asyncio.Queue()
        running = _register(self._sender.send_initial(state), done_queue)
        while running and _now() < state.deadline:
            progress = _progress(state, started_at)
            if answer_time.is_due(policy, progress):
                break
            wake_at = min(
                _next_check_at(state, policy, started_at),
                *(sent_request.hedge_at for sent_request in running.values()),
            )
            wake_at = max(wake_at, _now() + _MIN_WAIT_S)
            for task in await _next_done(done_queue, wake_at):
                sent_request = running.pop(task)
                self._process_reply(state, sent_request, running, done_queue)
            self._send_hedges(state, running, done_queue)
        self._record_missing_reasons(state, running)

    def _process_reply(
        self,
        state: search_state.SearchState,
        sent_request: owner_ask.OwnerRequest,
        running: _RequestByTask,
        done_queue: _DoneQueue,
    ) -> None:
        """Record the result of a request; resend the shards that it lacks."""
        preferred_data_centre = ''
        match sent_request.task.result():
            case result.Ok(answer):
                state.mark_missing(
                    sent_request.shards, shard_outcome.UNREACHABLE
                )
                state.merge_answer(answer, sent_request.shards)
            case _:
                preferred_data_centre = sent_request.where.data_centre
                reason = self._sender.missing_reason(
                    sent_request, state.deadline
                )
                state.mark_missing(sent_request.shards, reason)
        missing = _uncovered_shards(state, sent_request, running)
        if missing and state.deadline - _now() >= _MIN_RESEND_TIME_S:
            allowed = self._within_budget(
                state, missing, is_owner_lost=bool(preferred_data_centre)
            )
            new_requests = self._sender.send_next(
                state, allowed, preferred_data_centre
            )
            running.update(_register(new_requests, done_queue))

    def _within_budget(
        self,
        state: search_state.SearchState,
        missing: list[str],
        *,
        is_owner_lost: bool,
    ) -> list[str]:
        """Return the missing shards that may be requested again.

        Shards that a searcher has worked on use up the hedging budget.
        Without a budget a shed shard would be sent to every owner in turn,
        which doubles the load during an overload. Shards of an owner that
        failed are always sent again.
        """
        if is_owner_lost:
            return missing
        free = [shard for shard in missing if state.is_unprocessed(shard)]
        paid = [shard for shard in missing if not state.is_unprocessed(shard)]
        return free + paid[: self._hedge.spend(len(paid))]

    def _send_hedges(
        self,
        state: search_state.SearchState,
        running: _RequestByTask,
        done_queue: _DoneQueue,
    ) -> None:
        """Request the shards of slow owners from a second owner as well."""
        now = _now()
        for sent_request in list(running.values()):
            if sent_request.hedge_at > now:
                continue
            sent_request.hedge_at = math.inf
            self._sender.is_silent(sent_request)
            others = {
                task: other
                for task, other in running.items()
                if other != sent_request
            }
            uncovered = _uncovered_shards(state, sent_request, others)
            uncovered = uncovered[: self._hedge.spend(len(uncovered))]
            preferred_data_centre = sent_request.where.data_centre
            new_requests = self._sender.send_next(
                state, uncovered, preferred_data_centre
            )
            running.update(_register(new_requests, done_queue))

    def _record_missing_reasons(
        self,
        state: search_state.SearchState,
        running: _RequestByTask,
    ) -> None:
        """Record why shards of requests that are still open are missing."""
        for sent_request in running.values():
            reason = self._sender.missing_reason(sent_request, state.deadline)
            for shard in sent_request.shards:
                if reason == shard_outcome.LATE:
                    state.reason_by_shard[shard] = reason
                else:
                    state.reason_by_shard.setdefault(shard, reason)


def _register(
    requests: list[owner_ask.OwnerRequest],
    done_queue: _DoneQueue,
) -> _RequestByTask:
    """Return requests by task; each task enters the queue when done."""
    for sent_request in requests:
        sent_request.task.add_done_callback(done_queue.put_nowait)
    return {sent_request.task: sent_request for sent_request in requests}


async def _next_done(
    done_queue: _DoneQueue,
    wake_at: float,
) -> list[owner_ask.OwnerTask]:
    """Return the finished tasks; wait for one until ``wake_at``.

    The queue costs one step for each task; ``asyncio.wait`` on all tasks
    after each answer would be quadratic in the number of owners. The queue
    is emptied even after the timeout: on a busy loop the timer can fire
    first, and owners that did answer would count as slow.
    """
    done = []
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout_at(wake_at):
            done.append(await done_queue.get())
    while not done_queue.empty():
        done.append(done_queue.get_nowait())
    return done


def _uncovered_shards(
    state: search_state.SearchState,
    sent_request: owner_ask.OwnerRequest,
    others: _RequestByTask,
) -> list[str]:
    """Return the shards of a request that are neither covered nor pending.

    ``others`` are the other open requests.
    """
    missing = [
        shard for shard in sent_request.shards if shard not in state.covered
    ]
    if not missing:
        return missing
    requested_elsewhere: set[str] = set()
    for other in others.values():
        requested_elsewhere.update(other.shards)
    return [shard for shard in missing if shard not in requested_elsewhere]


def _now() -> float:
    return asyncio.get_running_loop().time()


def _progress(
    state: search_state.SearchState,
    started_at: float,
) -> answer_time.Progress:
    total = len(state.index.searchers_by_shard)
    return answer_time.Progress(
        total=total,
        covered=len(state.covered),
        pending=total - len(state.covered),
        elapsed_ms=(_now() - started_at) * _MS_PER_S,
    )


def _next_check_at(
    state: search_state.SearchState,
    policy: answer_policy.AnswerPolicy,
    started_at: float,
) -> float:
    """Return when to check for completion if no owner answers earlier."""
    patience_ends_at = started_at + policy.patience_ms / _MS_PER_S
    if policy.when == 'coverage' and _now() < patience_ends_at:
        return min(state.deadline, patience_ends_at)
    return state.deadline


def _covered(state: search_state.SearchState) -> int:
    return len(state.covered)


def _is_newer(
    newer: shard_index.ShardIndex | None,
    index: shard_index.ShardIndex,
) -> bool:
    return newer is not None and newer.version > index.version
