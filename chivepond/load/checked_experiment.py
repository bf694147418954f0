"""Reads and validates an experiment file."""

import dataclasses
import ipaddress
import pathlib
from typing import Self

import msgspec
import result

from chivepond.errors import invalid
from chivepond.load import experiment, overrides, scenario, trial_plan
from chivepond.settings import capacity_service, loader, search_service
from chivepond.standins import deployment_plan, placement, service_plan
from chivepond.transport import address

_REMEDY = 'see chivepond/load/scenario.py and experiments/ for valid settings'
_MAX_SEARCHES = 200_000

_ScenarioResult = result.Result[scenario.Scenario, invalid.Invalid]


@dataclasses.dataclass(slots=True, frozen=True)
class CheckedExperiment:
    """An experiment whose variants are all valid.

    ``runs`` is how often each variant runs.
    """

    experiment: experiment.Experiment
    plans: list[trial_plan.TrialPlan]
    runs: int

    @classmethod
    def load(
        cls,
        path: pathlib.Path,
        callers: list[str],
        *,
        is_short: bool,
    ) -> result.Result[Self, invalid.Invalid]:
        """Load an experiment and validate the scenario of each variant.

        With ``callers`` (``ip:port`` each) the load goes to running nodes.
        Returns Invalid with the file, the variant and the cause.
        """
        loaded = loader.load(experiment.Experiment, path)
        if loaded.is_err():
            return loaded
        definition = loaded.unwrap()
        plans = []
        common_overrides = definition.short if is_short else {}
        if callers:
            common_overrides = common_overrides | {'addresses': callers}
        for variant in definition.variants:
            changes = common_overrides | variant.set
            checked = overrides.apply(definition.scenario, changes).and_then(
                check
            )
            if checked.is_err():
                return _invalid_experiment(
                    f'{path}, variant {variant.name}:'
                    f' {checked.unwrap_err().message}',
                )
            plans.append(trial_plan.TrialPlan(variant.name, checked.unwrap()))
        runs = definition.short_runs if is_short else definition.runs
        return result.Ok(cls(definition, plans, runs))


def check(document: dict[str, object]) -> _ScenarioResult:
    """Convert ``document`` to a scenario and validate it.

    Returns Invalid for an unknown key or service, a setting out of range,
    too many searches, an address that is not loopback, or a fault whose
    target does not exist.
    """
    try:
        candidate = msgspec.convert(document, scenario.Scenario)
    except msgspec.ValidationError as error:
        return _invalid_experiment(str(error))
    searches = (
        sum(stream.per_s for stream in candidate.streams) * candidate.seconds
    )
    if searches > _MAX_SEARCHES:
        return _invalid_experiment(
            f'about {searches:.0f} searches, the limit is {_MAX_SEARCHES}'
        )
    if candidate.addresses:
        return _check_addresses(candidate)
    if candidate.deployment is None:
        return _invalid_experiment('neither deployment nor addresses are set')
    return _check_deployment(candidate, candidate.deployment)


def _check_addresses(candidate: scenario.Scenario) -> _ScenarioResult:
    for text in candidate.addresses:
        parsed = address.parse(text)
        if parsed.is_err():
            return _invalid_experiment(parsed.unwrap_err().message)
        if not ipaddress.ip_address(parsed.unwrap().ip).is_loopback:
            return _invalid_experiment(
                f'{text} is not a loopback address; load stays on loopback'
            )
    if candidate.faults or candidate.route == 'direct':
        return _invalid_experiment(
            'faults and route: direct require an embedded deployment'
        )
    return result.Ok(candidate)


def _check_deployment(
    candidate: scenario.Scenario,
    plan: deployment_plan.DeploymentPlan,
) -> _ScenarioResult:
    service_names = {service.name for service in plan.services}
    for stream in candidate.streams:
        if stream.service not in service_names:
            return _invalid_experiment(
                f'stream {stream.name}: unknown service {stream.service!r}'
            )
    for service in plan.services:
        try:
            _check_service(service)
        except msgspec.ValidationError as error:
            return _invalid_experiment(f'service {service.name}: {error}')
    return _check_faults(candidate, plan)


def _check_service(service: service_plan.ServicePlan) -> None:
    service.searcher_profile('checked', 0)
    msgspec.convert(service.search, search_service.SearchService)
    msgspec.convert(service.capacity, capacity_service.CapacityService)


def _check_faults(
    candidate: scenario.Scenario,
    plan: deployment_plan.DeploymentPlan,
) -> _ScenarioResult:
    targets_by_kind = {
        'platform': {''},
        'data_centre': set(plan.data_centres),
        'node': {
            f'{data_centre}-{number}'
            for data_centre in plan.data_centres
            for number in range(plan.nodes_per_data_centre)
        },
        'searcher': {
            placed.searcher_id
            for service in plan.services
            for placed in placement.service_placements(plan, service)
        },
    }
    for fault in candidate.faults:
        if fault.target not in targets_by_kind[fault.what]:
            return _invalid_experiment(
                f'faults: unknown {fault.what} {fault.target!r}'
            )
    return result.Ok(candidate)


def _invalid_experiment(message: str) -> result.Err[invalid.Invalid]:
    return result.Err(invalid.Invalid(message=message, remedy=_REMEDY))
