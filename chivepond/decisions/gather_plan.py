"""Which shards of a search are asked from here, and which elsewhere.

Load pattern: each search wants a part of every shard, and many shards have
no searcher near. Parts that cross to another region one by one cost twenty
times the bytes of one message with the greatest records of them all, and
hold a narrow link up. A gateway beside the searchers gathers them instead.
"""

import dataclasses
from collections.abc import Mapping

#: The fewest shards for which another gateway is asked: below that the
#: message with its signatures saves nothing over the parts.
_FEWEST_SHARDS = 3


@dataclasses.dataclass(slots=True)
class GatherPlan:
    """Shards to ask from here, and groups of shards by data centre."""

    direct: list[str]
    shards_by_data_centre: dict[str, list[str]]


def plan(
    best_place_by_shard: Mapping[str, str],
    helpers: frozenset[str],
) -> GatherPlan:
    """Group shards by where their best searcher is.

    ``helpers`` are the data centres with a gateway to ask, the own one only
    where its link is so much wider that the hop is worth it.
    """
    made = GatherPlan([], {})
    for shard, place in best_place_by_shard.items():
        if place in helpers:
            made.shards_by_data_centre.setdefault(place, []).append(shard)
        else:
            made.direct.append(shard)
    for place in list(made.shards_by_data_centre):
        if len(made.shards_by_data_centre[place]) < _FEWEST_SHARDS:
            made.direct.extend(made.shards_by_data_centre.pop(place))
    return made
