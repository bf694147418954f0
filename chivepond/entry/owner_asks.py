"""Sends search requests to owners, one request for all shards of an owner."""

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
#: Time for the event loops of both nodes, besides the round trip.
_LOOP_MARGIN_S = 0.004
#: The assumed round trip to another data centre until one is measured.
_DEFAULT_REMOTE_RTT_S = 0.026
#: At most this share of the remaining time is reserved for the network.
_MAX_MARGIN_SHARE = 0.25
#: A request that ends this close to its deadline counts as timed out.
_DEADLINE_TOLERANCE_S = 0.002


class OwnerRequestSender:
    """Sends the shards of a search to the owners that can search them."""

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
        host_directory: directory.Directory,
        peers: peer_clients.Peers,
        local_owner: owner.Owner,
        hedge: owner_hedge.OwnerHedge,
    ) -> None:
        """Call ``local_owner`` for this node's shards, ``peers`` for others."""
        self._settings = settings
        self._directory = host_directory
        self._hedge = hedge
        self._peers = peers
        self._owner = local_owner
        self._plans = plan_cache.PlanCache(
            planner.Planner(settings.data_centre, settings.region),
        )
        self._tasks: set[owner_ask.OwnerTask] = set()

    def send_next(
        self,
        state: search_state.SearchState,
        shards: list[str],
        preferred_data_centre: str = '',
    ) -> list[owner_ask.OwnerRequest]:
        """Send each shard to its best owner that was not tried yet.

        Sends one request to each owner. Owners in the data centre
        ``preferred_data_centre`` come first.
        """
        avoided = self._hedge.avoided(_now())
        draining = self._peers.drains.draining_ids(_now())
        entries_by_place: dict[
            place.OwnerNode, list[shard_entry.ShardEntry]
        ] = {}
        for shard in shards:
            replicas_by_owner = self._replicas_by_owner(
                state, shard, avoided, draining
            )
            target = _next_target(
                state, shard, list(replicas_by_owner), preferred_data_centre
            )
            if target is None:
                self._record_no_target(state, shard)
                continue
            entries_by_place.setdefault(target, []).append(
                shard_entry.ShardEntry(
                    shard=shard, searchers=replicas_by_owner[target]
                ),
            )
        return self._send_all(state, entries_by_place)

    def send_initial(
        self,
        state: search_state.SearchState,
    ) -> list[owner_ask.OwnerRequest]:
        """Send all shards to their best owners, by the plan of the version."""
        plan = self._plans.plan_initial(
            self._directory.view,
            state.index,
            self._hedge.avoided(_now()),
            self._peers.drains.draining_ids(_now()),
        )
        state.first_place_by_shard = plan.place_by_shard
        for shard in plan.unplaced:
            self._record_no_target(state, shard)
        return self._send_all(state, plan.entries_by_place)

    def missing_reason(
        self, sent_request: owner_ask.OwnerRequest, deadline: float
    ) -> str:
        """Return the missing-shard reason for an unanswered request.

        The owner was unreachable if the request failed before its deadline
        or if the owner has answered nothing at all; else it was late.
        """
        ended_early = (
            sent_request.task.done()
            and _now() < deadline - _DEADLINE_TOLERANCE_S
        )
        if ended_early or self.is_silent(sent_request):
            return shard_outcome.UNREACHABLE
        return shard_outcome.LATE

    def is_silent(self, sent_request: owner_ask.OwnerRequest) -> bool:
        """Return whether the owner has answered nothing; if so, avoid it."""
        if sent_request.where.node_id == self._settings.node_id:
            return False
        is_silent = self._hedge.is_silent(
            sent_request.where.node_id,
            sent_request.where.data_centre,
            sent_request.sent_at,
            _now(),
        )
        if is_silent:
            self._hedge.failed(sent_request.where.node_id, _now())
        return is_silent

    def _replicas_by_owner(
        self,
        state: search_state.SearchState,
        shard: str,
        avoided: frozenset[str],
        draining: frozenset[str],
    ) -> dict[place.OwnerNode, list[str]]:
        return self._plans.replicas_by_owner(
            self._directory.view,
            state.index.searchers_by_shard[shard],
            avoided,
            draining,
        )

    def _record_no_target(
        self,
        state: search_state.SearchState,
        shard: str,
    ) -> None:
        """Record why a shard has no owner left, unless a reason is set.

        A searcher that the platform lists as live, in a data centre without
        a live node, exists but is unreachable.
        """
        host_by_id = self._directory.view.searcher_by_id
        replicas = state.index.searchers_by_shard[shard]
        is_listed = any(
            searcher_id in host_by_id
            and host_by_id[searcher_id].state == 'live'
            for searcher_id in replicas
        )
        reason = shard_outcome.NO_REPLICA
        if is_listed:
            reason = shard_outcome.UNREACHABLE
        state.reason_by_shard.setdefault(shard, reason)

    def _send_all(
        self,
        state: search_state.SearchState,
        entries_by_place: dict[place.OwnerNode, list[shard_entry.ShardEntry]],
    ) -> list[owner_ask.OwnerRequest]:
        data_centres = {target.data_centre for target in entries_by_place}
        rtt_by_data_centre = {
            data_centre: self._rtt_s(data_centre)
            for data_centre in data_centres
        }
        return [
            self._send(
                state,
                target,
                entries,
                rtt_by_data_centre[target.data_centre],
            )
            for target, entries in entries_by_place.items()
        ]

    def _send(
        self,
        state: search_state.SearchState,
        target: place.OwnerNode,
        entries: list[shard_entry.ShardEntry],
        rtt_s: float,
    ) -> owner_ask.OwnerRequest:
        now = _now()
        remaining_s = max(0, state.deadline - now)
        query = owner_query.OwnerQuery(
            request_id=state.request_id,
            service=state.request.service,
            index_version=state.index.version,
            query=state.request.query,
            limit=state.wanted,
            remaining_ms=int(
                (remaining_s - self._reply_margin_s(target, rtt_s, remaining_s))
                * _MS_PER_S,
            ),
            shards=entries,
        )
        task = asyncio.create_task(self._exchange(target, query, remaining_s))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return owner_ask.OwnerRequest(
            target,
            [entry.shard for entry in entries],
            now,
            now + self._hedge.delay_s(target.data_centre, remaining_s),
            task,
        )

    def _reply_margin_s(
        self,
        target: place.OwnerNode,
        rtt_s: float,
        remaining_s: float,
    ) -> float:
        """Return the part of the remaining time that the network needs."""
        if target.node_id == self._settings.node_id:
            return min(_LOOP_MARGIN_S, remaining_s)
        return min(rtt_s + _LOOP_MARGIN_S, remaining_s * _MAX_MARGIN_SHARE)

    def _rtt_s(self, data_centre: str) -> float:
        """Return the round trip to a data centre, or a default if unknown."""
        rtt_s = self._directory.round_trip_s(data_centre)
        if not rtt_s and data_centre != self._settings.data_centre:
            return _DEFAULT_REMOTE_RTT_S
        return rtt_s

    async def _exchange(
        self,
        target: place.OwnerNode,
        query: owner_query.OwnerQuery,
        remaining_s: float,
    ) -> result.Result[owner_answer.OwnerAnswer, problem.Problem]:
        """Send a query to one owner and record its health and answer time.

        Late answers are recorded as well.
        """
        sent_at = _now()
        if target.node_id == self._settings.node_id:
            local_answer = await self._owner.answer(query)
            self._peers.drains.record(local_answer.draining, _now())
            return result.Ok(local_answer)
        answer = await self._peers.post(
            owner_answer.OwnerAnswer,
            target.node_id,
            '/internal/query',
            query,
            remaining_s,
        )
        if answer.is_ok():
            self._peers.drains.record(answer.unwrap().draining, _now())
            self._hedge.answered(
                target.node_id,
                target.data_centre,
                sent_at,
                _now(),
            )
        elif _now() < sent_at + remaining_s - _DEADLINE_TOLERANCE_S:
            self._hedge.failed(target.node_id, _now())
        return answer


def _next_target(
    state: search_state.SearchState,
    shard: str,
    owners: list[place.OwnerNode],
    preferred_data_centre: str,
) -> place.OwnerNode | None:
    """Return the best untried owner, and mark it as tried; None if all are."""
    tried_owners = state.tried_owners(shard)
    untried = [target for target in owners if target not in tried_owners]
    if not untried:
        return None
    chosen = min(
        untried,
        key=lambda target: (
            bool(preferred_data_centre)
            & (target.data_centre != preferred_data_centre)
        ),
    )
    tried_owners.add(chosen)
    return chosen


def _now() -> float:
    return asyncio.get_running_loop().time()
