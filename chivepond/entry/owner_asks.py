"""Asks the owners of shards: which place is next, one message for each."""

import asyncio

import result

from chivepond.control import directory
from chivepond.decisions import owner_hedge
from chivepond.entry import (
    owner_ask,
    place,
    plan_cache,
    planner,
    search_state,
)
from chivepond.entry import peers as peer_clients
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
#: For the loops at both ends, besides the round trip.
_MARGIN_S = 0.004
#: The round trip to another data centre while none was measured.
_REMOTE_S = 0.026
#: The most of the time left that is kept for the way.
_MARGIN_SHARE = 0.25
#: How near its end an ask counts as timed out.
_END_S = 0.002


class OwnerAsks:
    """Sends the shards of a search to where they can be searched."""

    __slots__ = (
        '_directory',
        '_hedge',
        '_owner',
        '_peers',
        '_plans',
        '_settings',
        '_tasks',
    )

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        hosts: directory.Directory,
        peers: peer_clients.Peers,
        owned: owner.Owner,
        hedge: owner_hedge.OwnerHedge,
    ) -> None:
        """Ask ``owned`` for this node's own searchers, peers for the rest."""
        self._settings = settings
        self._directory = hosts
        self._hedge = hedge
        self._peers = peers
        self._owner = owned
        self._plans = plan_cache.PlanCache(
            planner.Planner(settings.data_centre, settings.region),
        )
        self._tasks: set[owner_ask.OwnerTask] = set()

    def ask(
        self,
        state: search_state.SearchState,
        shards: list[str],
        near: str = '',
    ) -> list[owner_ask.OwnerAsk]:
        """Ask the next place of each shard; one message for each place.

        A place in the data centre ``near`` goes before others.
        """
        avoided = self._hedge.avoided(_now())
        draining = self._peers.drains.current(_now())
        entries_by_place: dict[place.Place, list[shard_entry.ShardEntry]] = {}
        for shard in shards:
            places = self._places(state, shard, avoided, draining)
            where = _next(state, shard, list(places), near)
            if where is None:
                self._note_no_place(state, shard)
                continue
            entries_by_place.setdefault(where, []).append(
                shard_entry.ShardEntry(shard=shard, searchers=places[where]),
            )
        return self._send_all(state, entries_by_place)

    def ask_all(
        self,
        state: search_state.SearchState,
    ) -> list[owner_ask.OwnerAsk]:
        """Ask the best place of every shard, as planned for all searches."""
        plan = self._plans.first(
            self._directory.view,
            state.index,
            self._hedge.avoided(_now()),
            self._peers.drains.current(_now()),
        )
        state.first_place_by_shard = plan.place_by_shard
        for shard in plan.unplaced:
            self._note_no_place(state, shard)
        return self._send_all(state, plan.entries_by_place)

    def why_lost(self, ask: owner_ask.OwnerAsk, deadline: float) -> str:
        """Return why an ask without an answer has none.

        One that broke off before its time, and one of an owner that says
        nothing at all, had no owner to reach.
        """
        broke_off = ask.task.done() and _now() < deadline - _END_S
        if broke_off or self.is_silent(ask):
            return shard_outcome.UNREACHABLE
        return shard_outcome.LATE

    def is_silent(self, ask: owner_ask.OwnerAsk) -> bool:
        """Tell whether the owner has said nothing; if so, avoid it."""
        if ask.where.node_id == self._settings.node_id:
            return False
        is_silent = self._hedge.is_silent(
            ask.where.node_id,
            ask.where.data_centre,
            ask.sent_at,
            _now(),
        )
        if is_silent:
            self._hedge.failed(ask.where.node_id, _now())
        return is_silent

    def _places(
        self,
        state: search_state.SearchState,
        shard: str,
        avoided: frozenset[str],
        draining: frozenset[str],
    ) -> dict[place.Place, list[str]]:
        return self._plans.places(
            self._directory.view,
            state.index.searchers_by_shard[shard],
            avoided,
            draining,
        )

    def _note_no_place(
        self,
        state: search_state.SearchState,
        shard: str,
    ) -> None:
        """Name why nobody is asked for a shard, unless that is known.

        A searcher that the platform lists as live in a data centre of
        which no node is heard is there, but can't be reached.
        """
        seen = self._directory.view.searcher_by_id
        replicas = state.index.searchers_by_shard[shard]
        is_listed = any(
            one in seen and seen[one].state == 'live' for one in replicas
        )
        reason = shard_outcome.NO_REPLICA
        if is_listed:
            reason = shard_outcome.UNREACHABLE
        state.reason_by_shard.setdefault(shard, reason)

    def _send_all(
        self,
        state: search_state.SearchState,
        entries_by_place: dict[place.Place, list[shard_entry.ShardEntry]],
    ) -> list[owner_ask.OwnerAsk]:
        asked = {where.data_centre for where in entries_by_place}
        way_by_data_centre = {one: self._way_s(one) for one in asked}
        return [
            self._send(
                state,
                where,
                entries,
                way_by_data_centre[where.data_centre],
            )
            for where, entries in entries_by_place.items()
        ]

    def _send(
        self,
        state: search_state.SearchState,
        where: place.Place,
        entries: list[shard_entry.ShardEntry],
        way_s: float,
    ) -> owner_ask.OwnerAsk:
        now = _now()
        left_s = max(0, state.deadline - now)
        query = owner_query.OwnerQuery(
            request_id=state.request_id,
            service=state.request.service,
            index_version=state.index.version,
            query=state.request.query,
            limit=state.wanted,
            remaining_ms=int(
                (left_s - self._margin_s(where, way_s, left_s)) * _MS_PER_S,
            ),
            shards=entries,
        )
        task = asyncio.create_task(self._exchange(where, query, left_s))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return owner_ask.OwnerAsk(
            where,
            [entry.shard for entry in entries],
            now,
            now + self._hedge.delay_s(where.data_centre, left_s),
            task,
        )

    def _margin_s(
        self,
        where: place.Place,
        way_s: float,
        left_s: float,
    ) -> float:
        """Return what the way there and back takes of the time left."""
        if where.node_id == self._settings.node_id:
            return min(_MARGIN_S, left_s)
        return min(way_s + _MARGIN_S, left_s * _MARGIN_SHARE)

    def _way_s(self, data_centre: str) -> float:
        """Return the round trip to a data centre, a guess if not measured."""
        way_s = self._directory.round_trip_s(data_centre)
        if not way_s and data_centre != self._settings.data_centre:
            return _REMOTE_S
        return way_s

    async def _exchange(
        self,
        where: place.Place,
        query: owner_query.OwnerQuery,
        left_s: float,
    ) -> result.Result[owner_answer.OwnerAnswer, problem.Problem]:
        """Ask one owner, and learn from how it went, also when it is late."""
        sent_at = _now()
        if where.node_id == self._settings.node_id:
            own = await self._owner.answer(query)
            self._peers.drains.heard(own.draining, _now())
            return result.Ok(own)
        answer = await self._peers.post(
            owner_answer.OwnerAnswer,
            where.node_id,
            '/internal/query',
            query,
            left_s,
        )
        if answer.is_ok():
            self._peers.drains.heard(answer.unwrap().draining, _now())
            self._hedge.answered(
                where.node_id,
                where.data_centre,
                sent_at,
                _now(),
            )
        elif _now() < sent_at + left_s - _END_S:
            self._hedge.failed(where.node_id, _now())
        return answer


def _next(
    state: search_state.SearchState,
    shard: str,
    places: list[place.Place],
    near: str,
) -> place.Place | None:
    """Return the best place that was not tried, and note it as tried."""
    tried = state.tried(shard)
    fresh = [where for where in places if where not in tried]
    if not fresh:
        return None
    chosen = min(
        fresh, key=lambda where: bool(near) & (where.data_centre != near)
    )
    tried.add(chosen)
    return chosen


def _now() -> float:
    return asyncio.get_running_loop().time()
