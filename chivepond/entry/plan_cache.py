"""Places of shards, worked out once for each view of the hosts."""

from chivepond.control import shard_index, view
from chivepond.entry import drain_news, first_plan, place, planner
from chivepond.wire import shard_entry

_Places = dict[place.Place, list[str]]


class PlanCache:
    """Keeps a planner's answers while what they rest on stays the same.

    A search over hundreds of shards asks for the places of each; views and
    avoided nodes change seldom, and are replaced whole when they do.
    """

    __slots__ = (
        '_avoided',
        '_draining',
        '_first_plans',
        '_places',
        '_planner',
        '_seen',
    )

    def __init__(self, planning: planner.Planner) -> None:
        """Keep the answers of ``planning``."""
        self._planner = planning
        self._seen: view.View | None = None
        self._avoided: frozenset[str] = frozenset()
        self._draining: frozenset[str] = frozenset()
        self._places: dict[tuple[str, ...], _Places] = {}
        self._first_plans: dict[int, first_plan.FirstPlan] = {}

    def places(
        self,
        seen: view.View,
        replicas: list[str],
        avoided: frozenset[str],
        draining: frozenset[str],
    ) -> _Places:
        """Return the places of a shard, best first; not to be changed."""
        self._forget_if_stale(seen, avoided, draining)
        key = tuple(replicas)
        found = self._places.get(key)
        if found is None:
            staying = drain_news.staying(replicas, draining)
            found = self._planner.places(seen, staying, avoided)
            self._places[key] = found
        return found

    def first(
        self,
        seen: view.View,
        index: shard_index.ShardIndex,
        avoided: frozenset[str],
        draining: frozenset[str],
    ) -> first_plan.FirstPlan:
        """Return where all shards of ``index`` are asked for first.

        Plans are kept by the identity of the index, which they hold on to,
        so that no other can take its place meanwhile.
        """
        self._forget_if_stale(seen, avoided, draining)
        found = self._first_plans.get(id(index))
        if found is None:
            found = self._plan(seen, index, avoided, draining)
            self._first_plans[id(index)] = found
        return found

    def _forget_if_stale(
        self,
        seen: view.View,
        avoided: frozenset[str],
        draining: frozenset[str],
    ) -> None:
        known = (self._avoided, self._draining)
        if seen is not self._seen or (avoided, draining) != known:
            self._seen = seen
            self._avoided = avoided
            self._draining = draining
            self._places = {}
            self._first_plans = {}

    def _plan(
        self,
        seen: view.View,
        index: shard_index.ShardIndex,
        avoided: frozenset[str],
        draining: frozenset[str],
    ) -> first_plan.FirstPlan:
        plan = first_plan.FirstPlan(index, {}, {}, [])
        for shard, replicas in index.searchers_by_shard.items():
            places = self.places(seen, replicas, avoided, draining)
            if not places:
                plan.unplaced.append(shard)
                continue
            where = next(iter(places))
            plan.place_by_shard[shard] = where
            plan.entries_by_place.setdefault(where, []).append(
                shard_entry.ShardEntry(shard=shard, searchers=places[where]),
            )
        return plan
