"""What a sub-query costs its owner, from the query to the merged answer."""

import random

from starlette import applications, requests, responses, routing

from chivepond.capacity import batch_probe, meter, reading
from chivepond.control import configuration, directory, object_cache, view
from chivepond.owner import owner
from chivepond.settings import (
    capacity_section,
    capacity_service,
    deployment,
    node_settings,
)
from chivepond.transport import address, server
from chivepond.wire import (
    codec,
    host,
    owner_query,
    query_batch,
    shard_entry,
    sub_query,
)

_ANY_PORT = address.Address('127.0.0.1', 0)
_ROUNDS = 100
_SHARDS = (1, 16, 64)
_SERVICE = 'pass-lookup'
_REPLICAS = ('a', 'b')


async def measure() -> reading.Reading:
    """Measure a search of one owner, with two replicas of each shard.

    Both are one server, in this process as well, that replies at once with
    replies encoded beforehand: its end costs the same whatever the owner
    does, and about 1 us of a sub-query to read the batch.
    """
    costs = [await _measure_one(size) for size in _SHARDS]
    return reading.Reading(
        name='search at its owner, two replicas, one hit a shard',
        grows_with='shards of the search',
        unit='us of processor time',
        sizes=list(_SHARDS),
        costs=costs,
    )


async def _measure_one(size: int) -> float:
    entries = [batch_probe.sub_query_of(number) for number in range(size)]
    async with (
        server.Server(
            _searcher(entries),
            _ANY_PORT,
            1,
        ) as serving,
        _owner(str(serving.address)) as owned,
    ):
        query = _query(entries)

        async def work() -> None:
            await owned.answer(query)

        return await meter.cpu_us(work, _ROUNDS)


def _searcher(entries: list[sub_query.SubQuery]) -> applications.Starlette:
    line_by_shard = {
        one.shard: b'%b\n' % codec.encode(batch_probe.sub_reply_of(one))
        for one in entries
    }

    async def query(request: requests.Request) -> responses.Response:
        asked = codec.decode(query_batch.QueryBatch, await request.body())
        lines = [line_by_shard[one.shard] for one in asked.unwrap().entries]
        return responses.Response(b''.join(lines))

    return applications.Starlette(
        routes=[routing.Route('/v1/query', query, methods=['POST'])],
    )


def _owner(searcher_address: str) -> owner.Owner:
    settings = node_settings.NodeSettings(
        node_id='node',
        data_centre='d',
        region='r',
        platform='127.0.0.1:1',
        callers='127.0.0.1:0',
        peers='127.0.0.1:0',
        operators='127.0.0.1:0',
    )
    configured = configuration.Configuration(object_cache.ObjectCache())
    configured.document = deployment.Deployment(
        capacity=capacity_section.CapacitySection(
            {
                _SERVICE: capacity_service.CapacityService(
                    slots=1,
                    max_batch=max(_SHARDS),
                ),
            },
        ),
    )
    hosts = directory.Directory(settings, object_cache.ObjectCache())
    known = {
        name: host.Host(
            name,
            'searcher',
            'd',
            'r',
            searcher_address,
            'live',
            _SERVICE,
        )
        for name in _REPLICAS
    }
    hosts.view = view.View({}, known, {})
    return owner.Owner(configured, hosts, random.Random(1))


def _query(entries: list[sub_query.SubQuery]) -> owner_query.OwnerQuery:
    first = entries[0]
    return owner_query.OwnerQuery(
        request_id=first.request_id,
        service=first.service,
        index_version=first.index_version,
        query=first.query,
        limit=first.limit,
        remaining_ms=10000,
        shards=[
            shard_entry.ShardEntry(one.shard, list(_REPLICAS))
            for one in entries
        ],
    )
