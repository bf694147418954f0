"""Asks the owners of shards: which place is next, one message for each."""

import asyncio

import result

from chivepond.control import directory
from chivepond.entry import peers as peer_clients
from chivepond.entry import place, planner, search_state
from chivepond.errors import problem
from chivepond.owner import owner
from chivepond.settings import node_settings
from chivepond.wire import (
    owner_answer,
    owner_query,
    shard_entry,
    shard_outcome,
)

_MS_PER_S = 1000
_LOCAL_MARGIN_S = 0.004
_REMOTE_MARGIN_S = 0.03

OwnerTask = asyncio.Task[
    result.Result[owner_answer.OwnerAnswer, problem.Problem]
]


class OwnerAsks:
    """Sends the shards of a search to where they can be searched."""

    __slots__ = (
        '_directory',
        '_owner',
        '_peers',
        '_planner',
        '_settings',
        '_tasks',
    )

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        hosts: directory.Directory,
        peers: peer_clients.Peers,
        owned: owner.Owner,
    ) -> None:
        """Ask ``owned`` for this node's own searchers, peers for the rest."""
        self._settings = settings
        self._directory = hosts
        self._peers = peers
        self._owner = owned
        self._planner = planner.Planner(settings.data_centre, settings.region)
        self._tasks: set[OwnerTask] = set()

    def ask(
        self,
        state: search_state.SearchState,
        shards: list[str],
    ) -> set[OwnerTask]:
        """Ask the next place of each shard; one message for each place."""
        entries_by_place: dict[place.Place, list[shard_entry.ShardEntry]] = {}
        for shard in shards:
            found = self._next_place(state, shard)
            if found is None:
                state.reason_by_shard.setdefault(
                    shard,
                    shard_outcome.NO_REPLICA,
                )
                continue
            where, replicas = found
            entries_by_place.setdefault(where, []).append(
                shard_entry.ShardEntry(shard=shard, searchers=replicas),
            )
        return {
            self._send(state, where, entries)
            for where, entries in entries_by_place.items()
        }

    def _next_place(
        self,
        state: search_state.SearchState,
        shard: str,
    ) -> tuple[place.Place, list[str]] | None:
        tried = state.tried_by_shard.setdefault(shard, set())
        places = self._planner.places(
            self._directory.view,
            state.index.searchers_by_shard[shard],
        )
        for where, replicas in places.items():
            if where not in tried:
                tried.add(where)
                return where, replicas
        return None

    def _send(
        self,
        state: search_state.SearchState,
        where: place.Place,
        entries: list[shard_entry.ShardEntry],
    ) -> OwnerTask:
        is_local = where.data_centre == self._settings.data_centre
        margin_s = _LOCAL_MARGIN_S if is_local else _REMOTE_MARGIN_S
        left_s = max(0, state.deadline - _now() - margin_s)
        query = owner_query.OwnerQuery(
            request_id=state.request_id,
            service=state.request.service,
            index_version=state.index.version,
            query=state.request.query,
            limit=state.wanted,
            remaining_ms=int(left_s * _MS_PER_S),
            shards=entries,
        )
        task = asyncio.create_task(
            self._exchange(where, query, state.deadline - _now()),
            name='\n'.join(entry.shard for entry in entries),
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _exchange(
        self,
        where: place.Place,
        query: owner_query.OwnerQuery,
        left_s: float,
    ) -> result.Result[owner_answer.OwnerAnswer, problem.Problem]:
        if where.node_id == self._settings.node_id:
            return result.Ok(await self._owner.answer(query))
        return await self._peers.post(
            owner_answer.OwnerAnswer,
            where.node_id,
            '/internal/query',
            query,
            left_s,
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
