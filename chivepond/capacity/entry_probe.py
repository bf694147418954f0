"""What a search costs its entry, by the number of owners it asks."""

import random
from typing import Any

import result

from chivepond.capacity import meter, reading
from chivepond.control import (
    accepted_document,
    catalog,
    configuration,
    directory,
    object_cache,
)
from chivepond.entry import peers, searches
from chivepond.errors import problem
from chivepond.observe import telemetry
from chivepond.owner import owner
from chivepond.object_store import kinds
from chivepond.settings import deployment, node_settings, search_section
from chivepond.settings import search_service as services
from chivepond.wire import (
    codec,
    hit,
    host,
    host_list,
    index_record,
    notice,
    owner_answer,
    owner_query,
    search_request,
    shard_entry,
    shard_map,
)

_SERVICE = 'pass-lookup'
_HERE = 'dc-a'
_SHARDS_AN_OWNER = 6
_HITS = 10
_OWNERS = (8, 32, 64)
_ROUNDS = 30


class _CannedPeers(peers.Peers):
    """Answers for every owner at once, through the codec."""

    async def post(
        self,
        kind: type[Any],
        node_id: str,
        path: str,
        message: owner_query.OwnerQuery,
        timeout_s: float,
    ) -> result.Result[Any, problem.Problem]:
        """Return an answer that covers all shards asked for."""
        asked = codec.decode(owner_query.OwnerQuery, codec.encode(message))
        told = codec.encode(_answer(asked.unwrap()))
        return codec.decode(kind, told)


async def measure() -> reading.Reading:
    """Measure plan, messages, merge and proof, without HTTP.

    The owners' side of the codec is counted as well.
    """
    costs = [await _measure_one(owners) for owners in _OWNERS]
    return reading.Reading(
        name='search at its entry, six shards an owner, without HTTP',
        grows_with='owners asked',
        unit='us of processor time',
        sizes=list(_OWNERS),
        costs=costs,
    )


async def _measure_one(owners: int) -> float:
    cache = object_cache.ObjectCache()
    settings = _settings()
    configured = configuration.Configuration(cache)
    hosts = directory.Directory(settings, cache)
    indexes = catalog.Catalog(cache)
    searching = searches.Searches(
        settings,
        configured,
        indexes,
        hosts,
        _CannedPeers(hosts),
        owner.Owner(configured, hosts, random.Random(1)),
        telemetry.Telemetry(settings, configured, bool),
    )
    for told in _notices(owners):
        cache.offer(told)

    async def work() -> None:
        answer = await searching.search(
            search_request.SearchRequest(_SERVICE, 'Rai', 'probe'),
        )
        answer.unwrap()

    return await meter.cpu_us(work, _ROUNDS)


def _settings() -> node_settings.NodeSettings:
    return node_settings.NodeSettings(
        node_id='entry',
        data_centre=_HERE,
        region=_HERE,
        callers='',
        peers='',
        operators='',
        platform='',
        secret='probe',
    )


def _notices(owners: int) -> list[notice.Notice]:
    document = deployment.Deployment(
        search=search_section.SearchSection(
            {_SERVICE: services.SearchService()}
        ),
    )
    accepted = accepted_document.AcceptedDocument(1, document)
    nodes = [_host(f'node-{number}', 'node') for number in range(owners)]
    searchers = [
        _host(f's-{number}', 'searcher')
        for number in range(owners * _SHARDS_AN_OWNER)
    ]
    shards = [
        shard_entry.ShardEntry(f'p-{one.host_id}', [one.host_id])
        for one in searchers
    ]
    record = index_record.IndexRecord(
        _SERVICE,
        'passes',
        1,
        [shard_map.ShardMap(1, shards)],
    )
    listed = host_list.HostList(1, nodes + searchers)
    return [
        notice.Notice(kinds.DEPLOYMENT_ACCEPTED, 1, codec.to_raw(accepted)),
        notice.Notice(kinds.HOSTS, 2, codec.to_raw(listed)),
        notice.Notice(f'{kinds.INDEX}/{_SERVICE}', 3, codec.to_raw(record)),
    ]


def _host(host_id: str, role: str) -> host.Host:
    return host.Host(
        host_id=host_id,
        role=role,
        data_centre=_HERE,
        region=_HERE,
        address='127.0.0.1:1',
        service=_SERVICE if role == 'searcher' else '',
    )


def _answer(asked: owner_query.OwnerQuery) -> owner_answer.OwnerAnswer:
    return owner_answer.OwnerAnswer(
        request_id=asked.request_id,
        index_version=asked.index_version,
        covered=[entry.shard for entry in asked.shards],
        missing=[],
        hits=[
            hit.Hit(
                f'{asked.shards[0].shard}/{number}',
                number,
                asked.shards[0].shard,
                'Asha Rai v1',
            )
            for number in range(_HITS)
        ],
        attempts=len(asked.shards),
    )
