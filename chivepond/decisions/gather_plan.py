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
    region_by_data_centre: Mapping[str, str],
    here: str,
    helpers: frozenset[str],
) -> GatherPlan:
    """Group shards by where their best searcher is.

    ``helpers`` are the data centres with a gateway that can be asked.
    """
    made = GatherPlan([], {})
    for shard, place in best_place_by_shard.items():
        is_near = _region(place, region_by_data_centre) == _region(
            here,
            region_by_data_centre,
        )
        if is_near or place not in helpers:
            made.direct.append(shard)
        else:
            made.shards_by_data_centre.setdefault(place, []).append(shard)
    for place in list(made.shards_by_data_centre):
        if len(made.shards_by_data_centre[place]) < _FEWEST_SHARDS:
            made.direct.extend(made.shards_by_data_centre.pop(place))
    return made


def _region(place: str, region_by_data_centre: Mapping[str, str]) -> str:
    return region_by_data_centre.get(place, place)
