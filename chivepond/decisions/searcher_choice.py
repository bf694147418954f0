"""Which searcher of a service a request is sent to.

Load pattern: several searchers hold the same shard, one nearby and the others
behind slow, metered links. Requests go to the nearby one while it is healthy
and its expected reply is well within the target latency; a pause or a fault
moves them to another searcher at once.
"""

import dataclasses
import functools
import operator
from collections.abc import Iterable

from chivepond.decisions import switches, upstream_health
from chivepond.settings import mechanism

#: Extra cost of a searcher in another data centre of the region, and in
#: another region, as a share of the target latency. It is added to the
#: measured latency, which includes the link, and represents the price of the
#: traffic: a reply earlier than needed has no value. With a fixed cost of 15
#: ms, whatever the target, 0.064 of the requests went to the other region at
#: 40 parts a second to a pair of replicas; now 0.005 do.
_OTHER_DATA_CENTRE_SHARE = 0.1
_OTHER_REGION_SHARE = 0.25


@dataclasses.dataclass(slots=True, frozen=True)
class SearcherRequirements:
    """Requirements of a request on the searcher that it is sent to."""

    #: Time within which a reply has its full value, in seconds.
    target_latency_s: float
    is_idempotent: bool = True


@dataclasses.dataclass(slots=True, frozen=True)
class Candidate:
    """A searcher that holds the requested shard."""

    searcher_id: str
    health: upstream_health.UpstreamHealth
    data_centre: str
    is_in_data_centre: bool
    is_in_region: bool
    #: Whether its registration says that it is leaving, or was removed.
    is_last_choice: bool


@dataclasses.dataclass(slots=True, frozen=True)
class QueryLocation:
    """A data centre in which a service can be queried."""

    data_centre: str
    #: Whether it is in another region.
    is_far: bool
    #: The cost of a query there, in seconds.
    cost_s: float


def query_locations(
    candidates: Iterable[Candidate],
    now: float,
    mechanism_switches: switches.Switches,
    target_latency_s: float,
) -> list[QueryLocation]:
    """Return where a service can be queried, the best location first.

    Only locations whose searchers are in the same health state as the best one
    are included. ``now`` and ``target_latency_s`` are in seconds.
    """
    requirements = SearcherRequirements(target_latency_s)
    best_rank: tuple[bool, int, float] | None = None
    ranked_locations: list[QueryLocation] = []
    ranked = [
        (_rank(now, mechanism_switches, requirements, candidate), candidate)
        for candidate in candidates
    ]
    ranked.sort(key=operator.itemgetter(0))
    for rank, candidate in ranked:
        best_rank = best_rank or rank
        if rank[:-1] == best_rank[:-1]:
            is_far = not candidate.is_in_region
            ranked_locations.append(
                QueryLocation(candidate.data_centre, is_far, rank[-1])
            )
    return ranked_locations


def choose(
    candidates: Iterable[Candidate],
    now: float,
    mechanism_switches: switches.Switches,
    requirements: SearcherRequirements,
) -> Candidate | None:
    """Return the best of the candidates, or ``None`` if there is none.

    Only an idempotent request may go to a searcher on trial, which then ranks
    as a healthy one: the outcome shows whether it has recovered.
    """

    return min(
        candidates,
        key=functools.partial(_rank, now, mechanism_switches, requirements),
        default=None,
    )


def health_state(
    candidate: Candidate,
    now: float,
    mechanism_switches: switches.Switches,
) -> upstream_health.HealthState:
    """Return the health state of a searcher.

    States that belong to a mechanism which is switched off count as usable.
    """
    state = candidate.health.state(now)
    match state:
        case upstream_health.HealthState.OVERDUE:
            is_on = mechanism_switches.is_on(mechanism.Mechanism.OVERDUE)
        case upstream_health.HealthState.USABLE:
            is_on = True
        case _:
            is_on = mechanism_switches.is_on(mechanism.Mechanism.DISTRUST)
    return state if is_on else upstream_health.HealthState.USABLE


def _rank(
    now: float,
    mechanism_switches: switches.Switches,
    requirements: SearcherRequirements,
    candidate: Candidate,
) -> tuple[bool, int, float]:
    state = health_state(candidate, now, mechanism_switches)
    may_use_trial = requirements.is_idempotent and mechanism_switches.is_on(
        mechanism.Mechanism.TRIALS,
    )
    if may_use_trial and state is upstream_health.HealthState.ON_TRIAL:
        state = upstream_health.HealthState.USABLE
    cost_s = candidate.health.expected_s(now)
    if mechanism_switches.is_on(mechanism.Mechanism.LINK_PRICE):
        cost_s += _link_price_s(candidate, requirements.target_latency_s)
    return (candidate.is_last_choice, state, cost_s)


def _link_price_s(candidate: Candidate, target_latency_s: float) -> float:
    if candidate.is_in_data_centre:
        return 0
    if candidate.is_in_region:
        return _OTHER_DATA_CENTRE_SHARE * target_latency_s
    return _OTHER_REGION_SHARE * target_latency_s
