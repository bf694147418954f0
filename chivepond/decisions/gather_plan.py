"""Which shards of a search are queried directly and which through a gateway.

Load pattern: each search needs a part from every shard, and many shards have
no searcher nearby. Parts that cross regions one by one cost twenty times the
bytes of one message with the top records of all of them, and occupy a narrow
link. A gateway beside the searchers gathers them instead. Where two other
regions hold the same shards, one message to one of them costs less than two
messages, each with the top records of its half.
"""

import collections
import dataclasses
from collections.abc import Iterable, Mapping, Sequence

from chivepond.decisions import searcher_choice, switches
from chivepond.settings import mechanism

#: Minimum number of shards per group: for fewer, the message to another
#: gateway with its signatures saves nothing over separate parts.
_MIN_GROUP_SHARDS = 3
#: How much slower a searcher may be to be queried with the group of the main
#: data centre, in seconds: a fifth of the usual time between a search's first
#: and last part.
_MAX_EXTRA_COST_S = 0.02


@dataclasses.dataclass(slots=True)
class GatherPlan:
    """Shards to query directly, and groups of shards by data centre."""

    direct: list[str]
    shards_by_data_centre: dict[str, list[str]]


def plan(
    locations_by_shard: Mapping[str, Sequence[searcher_choice.QueryLocation]],
    helpers: frozenset[str],
    mechanism_switches: switches.Switches,
) -> GatherPlan:
    """Group the shards by where they are queried.

    ``locations_by_shard`` holds the locations of each shard, best first.
    ``helpers`` are the data centres with a gateway that can gather; the own
    data centre is one of them only where its link is so much wider that the hop
    is worth it.
    """
    shard_plan = GatherPlan([], {})
    if not mechanism_switches.is_on(mechanism.Mechanism.REMOTE_GATHER):
        shard_plan.direct.extend(locations_by_shard)
        return shard_plan
    main_name = None
    if mechanism_switches.is_on(mechanism.Mechanism.ONE_REGION):
        main_name = _main_data_centre(locations_by_shard.values(), helpers)
    for shard, locations in locations_by_shard.items():
        name = _data_centre_of(locations, main_name)
        if name in helpers:
            shard_plan.shards_by_data_centre.setdefault(name, []).append(shard)
        else:
            shard_plan.direct.append(shard)
    for name in list(shard_plan.shards_by_data_centre):
        if len(shard_plan.shards_by_data_centre[name]) < _MIN_GROUP_SHARDS:
            shard_plan.direct.extend(shard_plan.shards_by_data_centre.pop(name))
    return shard_plan


def _main_data_centre(
    locations_of_shards: Iterable[Sequence[searcher_choice.QueryLocation]],
    helpers: frozenset[str],
) -> str | None:
    """Return the remote data centre that is best for most shards."""
    counts = collections.Counter(
        locations[0].data_centre
        for locations in locations_of_shards
        if locations[0].is_far and locations[0].data_centre in helpers
    )
    return counts.most_common(1)[0][0] if counts else None


def _data_centre_of(
    locations: Sequence[searcher_choice.QueryLocation],
    main_name: str | None,
) -> str:
    """Return the data centre that serves a shard.

    ``main_name`` is used if its cost is close to that of the best location.
    """
    best = locations[0]
    if not best.is_far:
        return best.data_centre
    is_near_enough = any(
        candidate.data_centre == main_name
        and candidate.cost_s <= best.cost_s + _MAX_EXTRA_COST_S
        for candidate in locations
    )
    return main_name if main_name and is_near_enough else best.data_centre
