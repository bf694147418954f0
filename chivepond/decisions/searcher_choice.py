"""Which searcher of a service a request goes to.

Load pattern: a few searchers hold the same shard, one near and the others
across links that are slow and priced. Requests go to the near one while it
is sound; a pause, a fault or a longer expected time moves them at once.
"""

import dataclasses
import functools
from collections.abc import Iterable

from chivepond.decisions import searcher_standing

#: What a searcher in another data centre of the region, and in another
#: region, counts as slower, in seconds, beside the time that the link takes
#: and that its measured latency holds. It stands for the price of the bytes.
_NEXT_DATA_CENTRE_S = 0.008
_OTHER_REGION_S = 0.015


@dataclasses.dataclass(slots=True, frozen=True)
class Candidate:
    """One searcher that holds what is asked for."""

    searcher_id: str
    standing: searcher_standing.SearcherStanding
    data_centre: str
    is_in_data_centre: bool
    is_in_region: bool
    #: Whether its registration says that it leaves, or is gone.
    is_last_choice: bool


def choose(
    candidates: Iterable[Candidate],
    now: float,
    *,
    is_idempotent: bool,
) -> Candidate | None:
    """Return the best of the candidates, or none where there is none.

    Only a request that may be repeated goes to a searcher on trial, as if it
    were sound: another try tells whether it is.
    """

    return min(
        candidates,
        key=functools.partial(_rank, now, is_idempotent),
        default=None,
    )


def _rank(
    now: float,
    is_idempotent: bool,
    one: Candidate,
) -> tuple[bool, int, float]:
    trust = one.standing.trust(now)
    if is_idempotent and trust is searcher_standing.Trust.ON_TRIAL:
        trust = searcher_standing.Trust.USABLE
    return (one.is_last_choice, trust, _cost_s(one, now))


def _cost_s(one: Candidate, now: float) -> float:
    cost_s = one.standing.expected_s(now)
    if one.is_in_data_centre:
        return cost_s
    if one.is_in_region:
        return cost_s + _NEXT_DATA_CENTRE_S
    return cost_s + _OTHER_REGION_S
