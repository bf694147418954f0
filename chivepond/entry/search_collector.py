"""Collects the owners' answers until the search is answered."""

import asyncio

import result

from chivepond.control import catalog, shard_index
from chivepond.decisions import answer_time
from chivepond.entry import owner_asks, search_state
from chivepond.settings import answer_policy
from chivepond.wire import shard_outcome

_MS_PER_S = 1000
_MIN_LEFT_S = 0.01


class SearchCollector:
    """Runs searches that are pinned to a version."""

    __slots__ = ('_asks', '_catalog')

    def __init__(
        self,
        asks: owner_asks.OwnerAsks,
        indexes: catalog.Catalog,
    ) -> None:
        """Send by ``asks``; find newer versions in ``indexes``."""
        self._asks = asks
        self._catalog = indexes

    async def run(
        self,
        state: search_state.SearchState,
        policy: answer_policy.AnswerPolicy,
        started_at: float,
        is_pinned: bool,
    ) -> search_state.SearchState:
        """Run a search, and start over when its version is withdrawn.

        Guards against an index version that goes away under a search: it
        shows as shards that no searcher has any more. The newer version is
        searched whole, never merged with the older one; where too little
        time was left for it, the older answer stands.
        """
        await self._collect(state, policy, started_at)
        newer = self._catalog.current(state.request.service)
        is_stale = state.is_withdrawn and not is_pinned
        has_time = state.deadline - _now() > _MIN_LEFT_S
        if is_stale and has_time and _is_newer(newer, state.index):
            again = search_state.SearchState(
                request=state.request,
                request_id=f'{state.request_id}.{newer.version}',
                index=newer,
                deadline=state.deadline,
                wanted=state.wanted,
                attempts=state.attempts,
            )
            await self._collect(again, policy, started_at)
            again.request_id = state.request_id
            return max(again, state, key=_covered)
        return state

    async def _collect(
        self,
        state: search_state.SearchState,
        policy: answer_policy.AnswerPolicy,
        started_at: float,
    ) -> None:
        running = self._asks.ask(state, list(state.index.searchers_by_shard))
        while running and _now() < state.deadline:
            progress = _progress(state, started_at)
            if answer_time.is_due(policy, progress):
                break
            until = _next_look(state, policy, started_at)
            finished, running = await asyncio.wait(
                running,
                timeout=max(0, until - _now()),
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in finished:
                running |= self._take(state, task)

    def _take(
        self,
        state: search_state.SearchState,
        task: owner_asks.OwnerTask,
    ) -> set[owner_asks.OwnerTask]:
        """Take one owner's answer; ask elsewhere for what it lacks."""
        shards = task.get_name().split('\n')
        for shard in shards:
            state.reason_by_shard[shard] = shard_outcome.UNREACHABLE
        match task.result():
            case result.Ok(answer):
                state.absorb(answer, shards)
        lost = [shard for shard in shards if shard not in state.covered]
        if not lost or state.deadline - _now() < _MIN_LEFT_S:
            return set()
        return self._asks.ask(state, lost)


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


def _next_look(
    state: search_state.SearchState,
    policy: answer_policy.AnswerPolicy,
    started_at: float,
) -> float:
    """Return when to look again, if no owner answers before."""
    patient_until = started_at + policy.patience_ms / _MS_PER_S
    if policy.when == 'coverage' and _now() < patient_until:
        return min(state.deadline, patient_until)
    return state.deadline


def _covered(state: search_state.SearchState) -> int:
    return len(state.covered)


def _is_newer(
    newer: shard_index.ShardIndex | None,
    index: shard_index.ShardIndex,
) -> bool:
    return newer is not None and newer.version > index.version
