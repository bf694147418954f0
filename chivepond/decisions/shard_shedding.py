"""Which shards of a search are skipped because they cannot reply in time.

Load pattern: all replicas of a few shards become slow, each search queries
them, and their queues grow until no search gets their parts in time. A
successful search may lack some shards. If some of the searches skip a slow
shard in turn, the shard gets only the work that it can do in time, and most
searches get most of the parts.
"""

from collections.abc import Callable, Mapping


#: The fraction of the shards a success may lack that is skipped; the rest is
#: for parts that arrive late.
_SHED_SHARE = 0.8


def max_shed(
    shards: int,
    least_share: float,
    rng: Callable[[], float],
) -> int:
    """Return how many of ``shards`` one group of a search may skip.

    ``least_share`` is the minimum share of shards of a success. The fraction
    is rounded up or down at random with ``rng``, so that on average all groups
    of a search together skip the allowed share, whichever group has the slow
    shards.
    """
    return int(_SHED_SHARE * (1 - least_share) * shards + rng())


def shards_to_shed(
    expected_s_by_shard: Mapping[str, float],
    remaining_s: float,
    max_shards: int,
    rng: Callable[[], float],
) -> frozenset[str]:
    """Return the shards that this search skips, at most ``max_shards``.

    A shard with an expected duration of at most ``remaining_s`` seconds is
    queried. A slower one is queried by the share of searches that it has time
    for.
    """
    candidates = [
        (rng(), shard)
        for shard, expected_s in expected_s_by_shard.items()
        if expected_s > remaining_s and rng() > remaining_s / expected_s
    ]
    candidates.sort()
    return frozenset(shard for _, shard in candidates[:max_shards])
