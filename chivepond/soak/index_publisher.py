"""Publishes, repartitions and withdraws index versions."""

import random

from chivepond.standins import embedded, placement, service_plan
from chivepond.wire import codec, index_record, shard_entry, shard_map

_KEPT = 2
_MOST_SHARDS = 3


class IndexPublisher:
    """The publisher of one service's index, with what it ever published."""

    __slots__ = ('_deployed', '_random', '_service', 'map_by_version')

    def __init__(
        self,
        deployed: embedded.EmbeddedDeployment,
        service: service_plan.ServicePlan,
        rng: random.Random,
    ) -> None:
        """Start from the version that the deployment began with."""
        first = placement.index_of(deployed.plan, service, 1)
        self.map_by_version = {1: first.published[0]}
        self._deployed = deployed
        self._service = service
        self._random = rng

    def publish(self) -> None:
        """Put a new version in place of the oldest.

        Searchers hold it before the platform tells of it, and drop the
        withdrawn one at once: searches may be running on it.
        """
        version = max(self.map_by_version) + 1
        self.map_by_version[version] = self._repartitioned(version)
        kept = sorted(self.map_by_version)[-_KEPT:]
        for searcher in self._deployed.searcher_by_id.values():
            searcher.versions = kept
        record = index_record.IndexRecord(
            service=self._service.name,
            index=self._service.index,
            current=version,
            published=[self.map_by_version[one] for one in kept],
        )
        self._deployed.platform.objects.publish(
            'index',
            self._service.name,
            codec.to_raw(record),
        )

    def _repartitioned(self, version: int) -> shard_map.ShardMap:
        shards = self._random.randint(1, _MOST_SHARDS)
        groups: dict[tuple[str, ...], None] = {}
        for entry in self.map_by_version[version - 1].shards:
            groups.setdefault(tuple(entry.searchers))
        return shard_map.ShardMap(
            version=version,
            shards=[
                shard_entry.ShardEntry(
                    shard=f'{self._service.name}-{number}-{shard}',
                    searchers=list(searchers),
                )
                for number, searchers in enumerate(groups)
                for shard in range(shards)
            ],
        )
