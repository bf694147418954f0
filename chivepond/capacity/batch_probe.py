"""What a sub-query costs its owner, by the size of its batch."""

from collections.abc import AsyncIterator

from starlette import applications, requests, responses, routing

from chivepond.capacity import meter, reading
from chivepond.transport import address, client, server
from chivepond.wire import (
    codec,
    hit,
    query_batch,
    shard_outcome,
    sub_query,
    sub_reply,
)

_ANY_PORT = address.Address('127.0.0.1', 0)
_ROUNDS = 100
_TIMEOUT_S = 5
_PATH = '/v1/query'
_BATCHES = (1, 4, 16, 64)


async def measure() -> reading.Reading:
    """Measure a batch with a searcher that replies at once.

    The searcher's end runs in this process as well; its replies are encoded
    beforehand and sent in one piece, as a searcher that answers a whole
    batch at once does.
    """
    costs = [await _measure_one(size) for size in _BATCHES]
    return reading.Reading(
        name='batch of sub-queries, one hit each, replies encoded before',
        grows_with='sub-queries in the batch',
        unit='us of processor time',
        sizes=list(_BATCHES),
        costs=costs,
    )


async def _measure_one(size: int) -> float:
    batch = query_batch.QueryBatch([sub_query_of(one) for one in range(size)])
    async with (
        server.Server(_application(batch), _ANY_PORT, 1) as serving,
        client.Client(serving.address, 1) as to,
    ):

        async def work() -> None:
            body = codec.encode(batch)
            async for line in to.lines(_PATH, body, _TIMEOUT_S):
                codec.decode(sub_reply.SubReply, line.unwrap())

        return await meter.cpu_us(work, _ROUNDS)


def _application(batch: query_batch.QueryBatch) -> applications.Starlette:
    lines = b''.join(
        b'%b\n' % codec.encode(sub_reply_of(one)) for one in batch.entries
    )

    async def stream() -> AsyncIterator[bytes]:
        yield lines

    async def query(request: requests.Request) -> responses.Response:
        await request.body()
        return responses.StreamingResponse(stream())

    return applications.Starlette(
        routes=[routing.Route(_PATH, query, methods=['POST'])],
    )


def sub_query_of(number: int) -> sub_query.SubQuery:
    """Return the sub-query for one shard."""
    return sub_query.SubQuery(
        request_id='r' * 16,
        attempt=0,
        service='pass-lookup',
        shard=f'pass-lookup-{number}-0',
        index_version=1,
        query='Gurung',
        limit=10,
        remaining_ms=250,
    )


def sub_reply_of(one: sub_query.SubQuery) -> sub_reply.SubReply:
    """Return its reply, with one hit."""
    return sub_reply.SubReply(
        request_id=one.request_id,
        attempt=one.attempt,
        shard=one.shard,
        index_version=one.index_version,
        outcome=shard_outcome.OK,
        hits=[hit.Hit(f'{one.shard}/1', 1, one.shard, 'Asha Gurung v1')],
    )
