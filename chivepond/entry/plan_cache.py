"""Caches which owners serve which shards, for one view of the hosts."""

from chivepond.control import shard_index, view
from chivepond.entry import drain_news, first_plan, place, planner
from chivepond.wire import shard_entry

_ReplicasByOwner = dict[place.OwnerNode, list[str]]


class PlanCache:
    """Caches a planner's results while its inputs stay the same.

    A search over hundreds of shards looks up the owners of each. The view,
    the avoided nodes and the drains change rarely and are replaced as a
    whole; the cache is cleared when one of them changes.
    """

    __slots__ = (
        '_avoided',
        '_cached_by_replicas',
        '_draining',
        '_plan_by_index_id',
        '_planner',
        '_view',
    )

    def __init__(self, shard_planner: planner.Planner) -> None:
        """Cache the results of ``shard_planner``."""
        self._planner = shard_planner
        self._view: view.View | None = None
        self._avoided: frozenset[str] = frozenset()
        self._draining: frozenset[str] = frozenset()
        self._cached_by_replicas: dict[tuple[str, ...], _ReplicasByOwner] = {}
        self._plan_by_index_id: dict[int, first_plan.InitialPlan] = {}

    def replicas_by_owner(
        self,
        host_view: view.View,
        replicas: list[str],
        avoided: frozenset[str],
        draining: frozenset[str],
    ) -> _ReplicasByOwner:
        """Return the replicas of a shard by owner, best first; read-only."""
        self._invalidate_if_stale(host_view, avoided, draining)
        key = tuple(replicas)
        cached = self._cached_by_replicas.get(key)
        if cached is None:
            not_draining = drain_news.not_draining(replicas, draining)
            cached = self._planner.replicas_by_owner(
                host_view, not_draining, avoided
            )
            self._cached_by_replicas[key] = cached
        return cached

    def plan_initial(
        self,
        host_view: view.View,
        index: shard_index.ShardIndex,
        avoided: frozenset[str],
        draining: frozenset[str],
    ) -> first_plan.InitialPlan:
        """Return the best owner of every shard of ``index``.

        The cache key is ``id(index)``. Each plan holds a reference to its
        index, so the id can't be reused while the plan is cached.
        """
        self._invalidate_if_stale(host_view, avoided, draining)
        plan = self._plan_by_index_id.get(id(index))
        if plan is None:
            plan = self._build_plan(host_view, index, avoided, draining)
            self._plan_by_index_id[id(index)] = plan
        return plan

    def _invalidate_if_stale(
        self,
        host_view: view.View,
        avoided: frozenset[str],
        draining: frozenset[str],
    ) -> None:
        cached_inputs = (self._avoided, self._draining)
        if host_view is not self._view or (avoided, draining) != cached_inputs:
            self._view = host_view
            self._avoided = avoided
            self._draining = draining
            self._cached_by_replicas = {}
            self._plan_by_index_id = {}

    def _build_plan(
        self,
        host_view: view.View,
        index: shard_index.ShardIndex,
        avoided: frozenset[str],
        draining: frozenset[str],
    ) -> first_plan.InitialPlan:
        plan = first_plan.InitialPlan(index, {}, {}, [])
        for shard, replicas in index.searchers_by_shard.items():
            replicas_by_owner = self.replicas_by_owner(
                host_view, replicas, avoided, draining
            )
            if not replicas_by_owner:
                plan.unplaced.append(shard)
                continue
            target = next(iter(replicas_by_owner))
            plan.place_by_shard[shard] = target
            plan.entries_by_place.setdefault(target, []).append(
                shard_entry.ShardEntry(
                    shard=shard, searchers=replicas_by_owner[target]
                ),
            )
        return plan
