"""Assigns the searchers and shards of a planned service."""

import dataclasses

from chivepond.standins import deployment_plan, service_plan
from chivepond.wire import index_record, shard_entry, shard_map


@dataclasses.dataclass(slots=True, frozen=True)
class Placement:
    """A searcher with its replica group and data centre."""

    searcher_id: str
    group: str
    data_centre: str


def service_placements(
    plan: deployment_plan.DeploymentPlan,
    service: service_plan.ServicePlan,
) -> list[Placement]:
    """Return the searchers of a service.

    Copy ``c`` of group ``g`` is in data centre number ``g + c``, modulo the
    number of data centres.
    """
    placements = []
    for group in range(service.groups):
        for copy in range(service.copies):
            number = (group + copy) % len(plan.data_centres)
            data_centre = plan.data_centres[number]
            name = f'{service.name}-{group}-{data_centre}'
            placements.extend(
                Placement(
                    searcher_id=f'{name}-{replica}',
                    group=name,
                    data_centre=data_centre,
                )
                for replica in range(service.replicas)
            )
    return placements


def index_record_of(
    plan: deployment_plan.DeploymentPlan,
    service: service_plan.ServicePlan,
    version: int,
) -> index_record.IndexRecord:
    """Return an index record with a single version of all shards.

    The searchers of a shard are those of all copies of its group.
    """
    searchers_by_group: dict[str, list[str]] = {}
    for placed in service_placements(plan, service):
        number = placed.group.removeprefix(f'{service.name}-').split('-')[0]
        searchers_by_group.setdefault(number, []).append(placed.searcher_id)
    shards = [
        shard_entry.ShardEntry(
            shard=f'{service.name}-{number}-{shard}',
            searchers=searchers,
        )
        for number, searchers in searchers_by_group.items()
        for shard in range(service.shards_per_group)
    ]
    return index_record.IndexRecord(
        service=service.name,
        index=service.index,
        current=version,
        published=[shard_map.ShardMap(version=version, shards=shards)],
    )
