"""Whether a new version of the routes is delayed until its searchers register.

Load pattern: an index is split into other shards while the store is
unavailable. When the store returns, the new version is read at once, and the
searchers that it names register within a few heartbeats; the searchers of the
old shards serve until the version must be active everywhere. If the new
version were activated at once, every search would fail until its searchers are
listed: 50 searches in one second.
"""

from collections.abc import Callable

from chivepond.decisions import change_time, gather_time

#: The fraction of the time within which a version must be active for which it
#: may be delayed. With the maximum content age of a followed gateway, 0.55,
#: and the wait for its reply, 0.15, the sum stays below one.
_MAX_WAIT_PART = 0.25
#: The fraction of that time that is left when a delayed version is activated.
_MARGIN_PART = 0.05


def max_delay_s(bound_s: float, age_s: float = 0) -> float:
    """Return how long a version may be delayed after it was read, in seconds.

    ``bound_s`` is the time within which it must be active, and ``age_s`` how
    long ago the previous version was confirmed.
    """
    return change_time.max_delay_s(
        _MAX_WAIT_PART * bound_s, age_s, bound_s, _MARGIN_PART * bound_s
    )


def is_search_served(
    shards: tuple[str, ...],
    least_share: float,
    is_listed: Callable[[str], bool],
) -> bool:
    """Tell whether enough shards have a listed searcher."""
    coverage = gather_time.Coverage(len(shards), least_share)
    return sum(map(is_listed, shards)) >= coverage.needed
