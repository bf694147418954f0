"""Reads an experiment file, and says what is wrong with it and where."""

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

_REMEDY = 'see chivepond/load/scenario.py and experiments/ for what may stand'
_MAX_SEARCHES = 200_000

_Checked = result.Result[scenario.Scenario, invalid.Invalid]


@dataclasses.dataclass(slots=True, frozen=True)
class CheckedExperiment:
    """An experiment whose variants may all run."""

    told: experiment.Experiment
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
        """Return the experiment in a file, against ``callers`` if any."""
        loaded = loader.load(experiment.Experiment, path)
        if loaded.is_err():
            return loaded
        told = loaded.unwrap()
        plans = []
        common = told.short if is_short else {}
        if callers:
            common = common | {'addresses': callers}
        for one in told.variants:
            changes = common | one.set
            checked = overrides.applied(told.scenario, changes).and_then(check)
            if checked.is_err():
                return _wrong(
                    f'{path}, variant {one.name}:'
                    f' {checked.unwrap_err().message}',
                )
            plans.append(trial_plan.TrialPlan(one.name, checked.unwrap()))
        runs = told.short_runs if is_short else told.runs
        return result.Ok(cls(told, plans, runs))


def check(document: dict[str, object]) -> _Checked:
    """Return a scenario whose parts fit together."""
    try:
        told = msgspec.convert(document, scenario.Scenario)
    except msgspec.ValidationError as error:
        return _wrong(str(error))
    searches = sum(one.per_s for one in told.streams) * told.seconds
    if searches > _MAX_SEARCHES:
        return _wrong(f'about {searches:.0f} searches, above {_MAX_SEARCHES}')
    if told.addresses:
        return _check_addresses(told)
    if told.deployment is None:
        return _wrong('neither deployment nor addresses are given')
    return _check_deployment(told, told.deployment)


def _check_addresses(told: scenario.Scenario) -> _Checked:
    for text in told.addresses:
        parsed = address.parse(text)
        if parsed.is_err():
            return _wrong(parsed.unwrap_err().message)
        if not ipaddress.ip_address(parsed.unwrap().ip).is_loopback:
            return _wrong(f'{text} is no loopback address; load stays on it')
    if told.faults or told.route == 'direct':
        return _wrong('faults and direct fan-out need an embedded deployment')
    return result.Ok(told)


def _check_deployment(
    told: scenario.Scenario,
    plan: deployment_plan.DeploymentPlan,
) -> _Checked:
    known = {one.name for one in plan.services}
    for one in told.streams:
        if one.service not in known:
            return _wrong(f'stream {one.name}: no service {one.service!r}')
    for service in plan.services:
        try:
            _convert(service)
        except msgspec.ValidationError as error:
            return _wrong(f'service {service.name}: {error}')
    return _check_faults(told, plan)


def _convert(service: service_plan.ServicePlan) -> None:
    service.searcher_profile('checked', 0)
    msgspec.convert(service.search, search_service.SearchService)
    msgspec.convert(service.capacity, capacity_service.CapacityService)


def _check_faults(
    told: scenario.Scenario,
    plan: deployment_plan.DeploymentPlan,
) -> _Checked:
    targets_by_what = {
        'platform': {''},
        'data_centre': set(plan.data_centres),
        'node': {
            f'{where}-{number}'
            for where in plan.data_centres
            for number in range(plan.nodes_per_data_centre)
        },
        'searcher': {
            placed.searcher_id
            for service in plan.services
            for placed in placement.of_service(plan, service)
        },
    }
    for step in told.faults:
        if step.target not in targets_by_what[step.what]:
            return _wrong(f'faults: there is no {step.what} {step.target!r}')
    return result.Ok(told)


def _wrong(message: str) -> result.Err[invalid.Invalid]:
    return result.Err(invalid.Invalid(message=message, remedy=_REMEDY))
