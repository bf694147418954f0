"""The baseline without owners: entry hosts send sub-queries directly."""

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
_INDEX_VERSION = 1
_MIN_WAIT_FACTOR = 0.5


class DirectCallers:
    """Entry hosts that fan out searches without shared state.

    Each entry host has an equal part of a searcher's connections and sends
    every sub-query immediately to a random replica. After a refusal it waits
    for 0.5 to 1.5 times ``retry_after_ms`` and tries a random replica again.
    """

    __slots__ = ('_clients_by_searcher', '_deployment', '_random')

    def __init__(self, deployment: embedded.EmbeddedDeployment) -> None:
        """Create the clients of one entry host for each node."""
        self._deployment = deployment
        self._random = random.Random(1)
        entry_count = len(deployment.node_by_id)
        self._clients_by_searcher = {
            searcher_id: [
                client.Client(
                    standin.address,
                    max(1, standin.profile.connections // entry_count),
                )
                for _ in range(entry_count)
            ]
            for searcher_id, standin in deployment.searcher_by_id.items()
        }

    async def __aenter__(self) -> Self:
        """Return these callers; connections open with the first request."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Close all connections."""
        for clients in self._clients_by_searcher.values():
            for http_client in clients:
                await http_client.__aexit__(kind, error, trace)

    async def search(
        self, planned: arrival.Arrival
    ) -> load_callers.SearchOutcome:
        """Search every shard of the service, with retries until its deadline.

        The answer has coverage but no hits.
        """
        service = next(
            plan
            for plan in self._deployment.plan.services
            if plan.name == planned.stream.service
        )
        settings = msgspec.convert(service.search, search_service.SearchService)
        deadline = _now() + settings.deadline_ms / _MS_PER_S
        index = placement.index_record_of(
            self._deployment.plan, service, _INDEX_VERSION
        )
        shards = index.published[0].shards
        was_searched = await asyncio.gather(
            *(self._search_shard(planned, entry, deadline) for entry in shards),
        )
        return result.Ok(
            search_answer.SearchAnswer(
                request_id=planned.caller,
                snapshot=snapshot.Snapshot(index.index, _INDEX_VERSION),
                coverage=_coverage(shards, was_searched),
                hits=[],
            ),
        )

    async def _search_shard(
        self,
        planned: arrival.Arrival,
        entry: shard_entry.ShardEntry,
        deadline: float,
    ) -> bool:
        query = sub_query.SubQuery(
            request_id=planned.caller,
            attempt=0,
            service=planned.stream.service,
            shard=entry.shard,
            index_version=_INDEX_VERSION,
            query=planned.stream.query,
            limit=planned.stream.limit,
            remaining_ms=0,
        )
        while _now() < deadline:
            query.attempt += 1
            searcher_id = self._random.choice(entry.searchers)
            reply = await self._send_sub_query(
                searcher_id, planned.entry_number, query, deadline
            )
            if reply.outcome == shard_outcome.OK:
                return True
            wait_s = reply.retry_after_ms / _MS_PER_S
            await asyncio.sleep(
                wait_s * (_MIN_WAIT_FACTOR + self._random.random())
            )
        return False

    async def _send_sub_query(
        self,
        searcher_id: str,
        entry_number: int,
        query: sub_query.SubQuery,
        deadline: float,
    ) -> sub_reply.SubReply:
        clients = self._clients_by_searcher[searcher_id]
        remaining_s = max(0, deadline - _now())
        query.remaining_ms = int(remaining_s * _MS_PER_S)
        lines = clients[entry_number % len(clients)].lines(
            '/v1/query',
            codec.encode(query_batch.QueryBatch([query])),
            remaining_s,
        )
        final_reply = _unreachable_reply(query)
        async for line in lines:
            match line.and_then(_decode_reply):
                case result.Ok(reply):
                    final_reply = reply
        return final_reply


def _coverage(
    shards: list[shard_entry.ShardEntry],
    was_searched: list[bool],
) -> coverage.Coverage:
    missing = [
        missing_shard.MissingShard(entry.shard, shard_outcome.LATE)
        for entry, is_covered in zip(shards, was_searched, strict=True)
        if not is_covered
    ]
    return coverage.Coverage(
        total=len(shards),
        covered=len(shards) - len(missing),
        missing=missing,
    )


def _decode_reply(raw: bytes) -> result.Result[sub_reply.SubReply, object]:
    return codec.decode(sub_reply.SubReply, raw)


def _unreachable_reply(query: sub_query.SubQuery) -> sub_reply.SubReply:
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
