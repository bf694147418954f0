"""Publishes index versions with new shards, and withdraws old ones."""

import random

from chivepond.standins import embedded, placement, service_plan
from chivepond.wire import codec, index_record, shard_entry, shard_map

_KEPT_VERSIONS = 2
_MAX_SHARDS_PER_GROUP = 3


class IndexPublisher:
    """Publishes the index of one service, and records every shard map."""

    __slots__ = ('_deployment', '_random', '_service', 'map_by_version')

    def __init__(
        self,
        deployment: embedded.EmbeddedDeployment,
        service: service_plan.ServicePlan,
        rng: random.Random,
    ) -> None:
        """Start from version 1, which the deployment was started with."""
        initial_record = placement.index_record_of(deployment.plan, service, 1)
        self.map_by_version = {1: initial_record.published[0]}
        self._deployment = deployment
        self._service = service
        self._random = rng

    def publish(self) -> None:
        """Publish a new version, and withdraw the oldest of two.

        Searchers hold the new version before the platform announces it, and
        drop the withdrawn one immediately, although searches may still be
        running on it.
        """
        version = max(self.map_by_version) + 1
        self.map_by_version[version] = self._repartition(version)
        kept_versions = sorted(self.map_by_version)[-_KEPT_VERSIONS:]
        for searcher in self._deployment.searcher_by_id.values():
            searcher.versions = kept_versions
        record = index_record.IndexRecord(
            service=self._service.name,
            index=self._service.index,
            current=version,
            published=[self.map_by_version[number] for number in kept_versions],
        )
        self._deployment.platform.objects.publish(
            'index',
            self._service.name,
            codec.to_raw(record),
        )

    def _repartition(self, version: int) -> shard_map.ShardMap:
        shard_count = self._random.randint(1, _MAX_SHARDS_PER_GROUP)
        searcher_groups: dict[tuple[str, ...], None] = {}
        for entry in self.map_by_version[version - 1].shards:
            searcher_groups.setdefault(tuple(entry.searchers))
        return shard_map.ShardMap(
            version=version,
            shards=[
                shard_entry.ShardEntry(
                    shard=f'{self._service.name}-{number}-{shard}',
                    searchers=list(searchers),
                )
                for number, searchers in enumerate(searcher_groups)
                for shard in range(shard_count)
            ],
        )
