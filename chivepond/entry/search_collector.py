"""Collects the owners' answers until the search is answered."""

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
_MIN_LEFT_S = 0.01
#: The shortest wait: a precaution against rounding, which would spin.
_LOOK_S = 0.0005
_AskByTask = dict[owner_ask.OwnerTask, owner_ask.OwnerAsk]
_Arrived = asyncio.Queue[owner_ask.OwnerTask]


class SearchCollector:
    """Runs searches that are pinned to a version."""

    __slots__ = ('_asks', '_catalog', '_hedge')

    def __init__(
        self,
        asks: owner_asks.OwnerAsks,
        hedge: owner_hedge.OwnerHedge,
        indexes: catalog.Catalog,
    ) -> None:
        """Send by ``asks``; find newer versions in ``indexes``."""
        self._hedge = hedge
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
        """Ask all shards; take answers, and ask elsewhere for the rest.

        Guards against one owner that holds the whole answer: it shows as
        searches that all end at their deadline. What it still owes after
        the delay that the decision gives is asked for elsewhere as well.
        """
        self._hedge.needed(len(state.index.searchers_by_shard))
        arrived: _Arrived = asyncio.Queue()
        running = _by_task(self._asks.ask_all(state), arrived)
        while running and _now() < state.deadline:
            progress = _progress(state, started_at)
            if answer_time.is_due(policy, progress):
                break
            until = min(
                _next_look(state, policy, started_at),
                *(ask.hedge_at for ask in running.values()),
            )
            until = max(until, _now() + _LOOK_S)
            for task in await _next_arrived(arrived, until):
                ask = running.pop(task)
                self._take(state, ask, running, arrived)
            self._hedge_due(state, running, arrived)
        self._name_lost(state, running)

    def _take(
        self,
        state: search_state.SearchState,
        ask: owner_ask.OwnerAsk,
        running: _AskByTask,
        arrived: _Arrived,
    ) -> None:
        """Take one owner's answer; ask elsewhere for what it lacks."""
        near = ''
        match ask.task.result():
            case result.Ok(answer):
                state.lose(ask.shards, shard_outcome.UNREACHABLE)
                state.absorb(answer, ask.shards)
            case _:
                near = ask.where.data_centre
                reason = self._asks.why_lost(ask, state.deadline)
                state.lose(ask.shards, reason)
        lost = _still_lost(state, ask, running)
        if lost and state.deadline - _now() >= _MIN_LEFT_S:
            allowed = self._allowed(state, lost, is_owner_lost=bool(near))
            asks = self._asks.ask(state, allowed, near)
            running.update(_by_task(asks, arrived))

    def _allowed(
        self,
        state: search_state.SearchState,
        lost: list[str],
        *,
        is_owner_lost: bool,
    ) -> list[str]:
        """Return which shards may be asked for again.

        Those that cost a searcher work are paid from the budget: without
        one a shed shard is asked for at every place in turn, which doubles
        the load just when there is too much.
        """
        if is_owner_lost:
            return lost
        free = [one for one in lost if state.is_untouched(one)]
        paid = [one for one in lost if not state.is_untouched(one)]
        return free + paid[: self._hedge.spend(len(paid))]

    def _hedge_due(
        self,
        state: search_state.SearchState,
        running: _AskByTask,
        arrived: _Arrived,
    ) -> None:
        """Ask a second owner for what the slow ones still owe."""
        now = _now()
        for ask in list(running.values()):
            if ask.hedge_at > now:
                continue
            ask.hedge_at = math.inf
            self._asks.is_silent(ask)
            others = {task: one for task, one in running.items() if one != ask}
            owed = _still_lost(state, ask, others)
            owed = owed[: self._hedge.spend(len(owed))]
            near = ask.where.data_centre
            asks = self._asks.ask(state, owed, near)
            running.update(_by_task(asks, arrived))

    def _name_lost(
        self,
        state: search_state.SearchState,
        running: _AskByTask,
    ) -> None:
        """Name why shards that are still asked for have no answer."""
        for ask in running.values():
            reason = self._asks.why_lost(ask, state.deadline)
            for shard in ask.shards:
                if reason == shard_outcome.LATE:
                    state.reason_by_shard[shard] = reason
                else:
                    state.reason_by_shard.setdefault(shard, reason)


def _by_task(
    asks: list[owner_ask.OwnerAsk],
    arrived: _Arrived,
) -> _AskByTask:
    """Return asks by their tasks, which report when they are done."""
    for ask in asks:
        ask.task.add_done_callback(arrived.put_nowait)
    return {ask.task: ask for ask in asks}


async def _next_arrived(
    arrived: _Arrived,
    until: float,
) -> list[owner_ask.OwnerTask]:
    """Return the tasks that are done, waiting for one if there is none.

    A queue takes one step a task; waiting for the whole set anew after each
    would take steps by the square of the owners. When the time is up it
    still takes what has arrived: on a busy loop the timer can come first,
    and owners that did answer would be taken for slow.
    """
    done = []
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout_at(until):
            done.append(await arrived.get())
    while not arrived.empty():
        done.append(arrived.get_nowait())
    return done


def _still_lost(
    state: search_state.SearchState,
    ask: owner_ask.OwnerAsk,
    others: _AskByTask,
) -> list[str]:
    """Return the shards of an ask that nobody has covered or still may."""
    lost = [shard for shard in ask.shards if shard not in state.covered]
    if not lost:
        return lost
    hoped_for: set[str] = set()
    for other in others.values():
        hoped_for.update(other.shards)
    return [shard for shard in lost if shard not in hoped_for]


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
