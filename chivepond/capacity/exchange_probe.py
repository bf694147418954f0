"""What an exchange between two nodes costs, by the size of its answer."""

import result
from starlette import applications

from chivepond.capacity import meter, reading
from chivepond.transport import address, client, endpoints, exchange, server
from chivepond.wire import (
    hit,
    owner_answer,
    owner_query,
    shard_entry,
)

_ANY_PORT = address.Address('127.0.0.1', 0)
_ROUNDS = 200
_SHARDS = 7
_TIMEOUT_S = 5
_PATH = '/internal/query'
_HITS = (0, 10, 40)


async def measure() -> reading.Reading:
    """Measure client and server together, which each node is both of."""
    costs = [await _measure_one(hits) for hits in _HITS]
    return reading.Reading(
        name='exchange between nodes, both ends',
        grows_with='hits in the answer',
        unit='us of processor time',
        sizes=list(_HITS),
        costs=costs,
    )


async def _measure_one(hits: int) -> float:
    asked = query()
    async with (
        server.Server(_application(hits), _ANY_PORT, 1) as serving,
        client.Client(serving.address, 1) as to,
    ):

        async def work() -> None:
            answer = await exchange.post(
                owner_answer.OwnerAnswer,
                to,
                _PATH,
                asked,
                _TIMEOUT_S,
            )
            answer.unwrap()

        return await meter.cpu_us(work, _ROUNDS)


def _application(hits: int) -> applications.Starlette:
    answer = owner_answer.OwnerAnswer(
        request_id='r' * 16,
        index_version=1,
        covered=[f'pass-lookup-{number}-0' for number in range(_SHARDS)],
        missing=[],
        hits=[
            hit.Hit(f'pass-lookup-{number}-0/1', number, 's', 'Asha Gurung')
            for number in range(hits)
        ],
        attempts=_SHARDS,
    )

    async def serve(query: owner_query.OwnerQuery) -> endpoints.Outcome:
        return result.Ok(answer)

    return endpoints.application(
        [endpoints.post(_PATH, owner_query.OwnerQuery, serve)],
    )


def query() -> owner_query.OwnerQuery:
    return owner_query.OwnerQuery(
        request_id='r' * 16,
        service='pass-lookup',
        index_version=1,
        query='Gurung',
        limit=10,
        remaining_ms=250,
        shards=[
            shard_entry.ShardEntry(
                shard=f'pass-lookup-{number}-0',
                searchers=[f'pass-lookup-{number}-dc-a-0'],
            )
            for number in range(_SHARDS)
        ],
    )
