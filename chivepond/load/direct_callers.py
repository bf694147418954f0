"""The baseline without owners: each entry host fans out by itself."""

import asyncio
import random
import types
from typing import Self

import msgspec
import result

from chivepond.load import arrival
from chivepond.load import callers as load_callers
from chivepond.settings import search_service
from chivepond.standins import embedded, placement
from chivepond.transport import client
from chivepond.wire import (
    codec,
    coverage,
    missing_shard,
    query_batch,
    search_answer,
    shard_entry,
    shard_outcome,
    snapshot,
    sub_query,
    sub_reply,
)

_MS_PER_S = 1000
_VERSION = 1
_LEAST_WAIT = 0.5


class DirectCallers:
    """Entry hosts that share nothing: each retries what searchers shed.

    Each has its part of a searcher's connections, sends every sub-query as
    soon as it comes, to a replica by chance, and after a refusal waits by
    chance around the time told before it tries another.
    """

    __slots__ = ('_clients_by_searcher', '_deployed', '_random')

    def __init__(self, deployed: embedded.EmbeddedDeployment) -> None:
        """Stand for as many entry hosts as the deployment has nodes."""
        self._deployed = deployed
        self._random = random.Random(1)
        entries = len(deployed.node_by_id)
        self._clients_by_searcher = {
            searcher_id: [
                client.Client(
                    standin.address,
                    max(1, standin.profile.connections // entries),
                )
                for _ in range(entries)
            ]
            for searcher_id, standin in deployed.searcher_by_id.items()
        }

    async def __aenter__(self) -> Self:
        """Return the callers."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Close all connections."""
        for clients in self._clients_by_searcher.values():
            for to in clients:
                await to.__aexit__(kind, error, trace)

    async def search(self, due: arrival.Arrival) -> load_callers.SearchOutcome:
        """Search every shard of the service, until its deadline."""
        service = next(
            one
            for one in self._deployed.plan.services
            if one.name == due.stream.service
        )
        told = msgspec.convert(service.search, search_service.SearchService)
        deadline = _now() + told.deadline_ms / _MS_PER_S
        index = placement.index_of(self._deployed.plan, service, _VERSION)
        shards = index.published[0].shards
        found = await asyncio.gather(
            *(self._shard(due, entry, deadline) for entry in shards),
        )
        return result.Ok(
            search_answer.SearchAnswer(
                request_id=due.caller,
                snapshot=snapshot.Snapshot(index.index, _VERSION),
                coverage=_coverage(shards, found),
                hits=[],
            ),
        )

    async def _shard(
        self,
        due: arrival.Arrival,
        entry: shard_entry.ShardEntry,
        deadline: float,
    ) -> bool:
        query = sub_query.SubQuery(
            request_id=due.caller,
            attempt=0,
            service=due.stream.service,
            shard=entry.shard,
            index_version=_VERSION,
            query=due.stream.query,
            limit=due.stream.limit,
            remaining_ms=0,
        )
        while _now() < deadline:
            query.attempt += 1
            chosen = self._random.choice(entry.searchers)
            reply = await self._try(chosen, due.entry, query, deadline)
            if reply.outcome == shard_outcome.OK:
                return True
            wait_s = reply.retry_after_ms / _MS_PER_S
            await asyncio.sleep(wait_s * (_LEAST_WAIT + self._random.random()))
        return False

    async def _try(
        self,
        searcher_id: str,
        entry: int,
        query: sub_query.SubQuery,
        deadline: float,
    ) -> sub_reply.SubReply:
        clients = self._clients_by_searcher[searcher_id]
        left_s = max(0, deadline - _now())
        query.remaining_ms = int(left_s * _MS_PER_S)
        lines = clients[entry % len(clients)].lines(
            '/v1/query',
            codec.encode(query_batch.QueryBatch([query])),
            left_s,
        )
        told = _unreachable(query)
        async for line in lines:
            match line.and_then(_read):
                case result.Ok(reply):
                    told = reply
        return told


def _coverage(
    shards: list[shard_entry.ShardEntry],
    found: list[bool],
) -> coverage.Coverage:
    missing = [
        missing_shard.MissingShard(entry.shard, shard_outcome.LATE)
        for entry, is_found in zip(shards, found, strict=True)
        if not is_found
    ]
    return coverage.Coverage(
        total=len(shards),
        covered=len(shards) - len(missing),
        missing=missing,
    )


def _read(raw: bytes) -> result.Result[sub_reply.SubReply, object]:
    return codec.decode(sub_reply.SubReply, raw)


def _unreachable(query: sub_query.SubQuery) -> sub_reply.SubReply:
    return sub_reply.SubReply(
        request_id=query.request_id,
        attempt=query.attempt,
        shard=query.shard,
        index_version=query.index_version,
        outcome=shard_outcome.UNREACHABLE,
        retry_after_ms=1,
    )


def _now() -> float:
    return asyncio.get_running_loop().time()
