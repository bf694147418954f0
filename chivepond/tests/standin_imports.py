"""Prints the modules that the first query imports at a stand-in searcher."""

import asyncio
import sys

from chivepond.standins import searcher, searcher_profile
from chivepond.transport import address, client
from chivepond.wire import codec, query_batch, sub_query

_TIMEOUT_S = 5


async def _list_imports() -> set[str]:
    profile = searcher_profile.SearcherProfile('s', 'name')
    any_port = address.Address('127.0.0.1', 0)
    async with searcher.SearcherStandin(profile, any_port, [1]) as standin:
        async with client.Client(standin.address, 1) as http_client:
            # Imports what the client needs for its first exchange.
            (await http_client.get('/v1/health', _TIMEOUT_S)).unwrap()
            modules = set(sys.modules)
            query = sub_query.SubQuery('q', 0, 'name', 's0', 1, 'a', 5, 1000)
            async for line in http_client.lines(
                '/v1/query',
                codec.encode(query_batch.QueryBatch([query])),
                _TIMEOUT_S,
            ):
                line.unwrap()
    return set(sys.modules) - modules


if __name__ == '__main__':
    sys.stdout.write('\n'.join(sorted(asyncio.run(_list_imports()))))
