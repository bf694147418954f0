"""Tests of the pool of connections to one searcher."""

import asyncio
import math

from chivepond.gateway import (
    connection_pool,
    health_log,
    outcome,
    peer_endpoint,
    telemetry,
)
from chivepond.standins import scripted_searcher
from chivepond.tests import support


async def _echo(request: scripted_searcher.Got) -> scripted_searcher.Told:
    return scripted_searcher.good(request, request.body)


def test_lowered_limit_applies_to_busy_connections():
    """Guards against a searcher with more connections than it accepts.

    The share of one gateway shrinks while it uses all its connections, and
    another one opens what it lost.
    """

    async def scenario() -> None:
        async with scripted_searcher.ScriptedSearcher(_echo) as searcher:
            pool = connection_pool.ConnectionPool(
                peer_endpoint.PeerEndpoint('s-1', searcher.address, slots=4),
                3,
                health_log.of_searchers(telemetry.Telemetry('gate-1')),
            )
            connections = [await pool.acquire(math.inf) for _ in range(3)]
            pool.limit(1)
            for connection in connections:
                pool.release(connection, outcome.NotSent('unused'))
            assert pool.connections == 1
            await asyncio.sleep(0.05)
            assert pool.connections == 1
            assert searcher.connections == 1
            pool.close()

    support.run(scenario())
