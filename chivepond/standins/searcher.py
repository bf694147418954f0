"""A stand-in for a searcher with slots, stragglers, versions and faults."""

import asyncio
import random
import types
from collections.abc import AsyncIterator
from typing import Self

import result
from anyio import lowlevel
from starlette import applications, requests, responses, routing

from chivepond.errors import problem
from chivepond.standins import (
    capped_protocol,
    records,
    searcher_counts,
    searcher_faults,
    searcher_profile,
)
from chivepond.transport import address, bodies, replies, server
from chivepond.wire import (
    attempt_ref,
    cancel_batch,
    codec,
    query_batch,
    searcher_command,
    searcher_health,
    searcher_result,
    shard_outcome,
    sub_query,
    sub_reply,
)

_MS_PER_S = 1000
_FROZEN_POLL_S = 0.02
_SHED_RETRY_MS = 20
_FALSE_BUSY_SLOTS = 0
_NO_BATCH = problem.Problem(
    message='query batch is missing', remedy='send a query batch'
)
_NDJSON = 'application/x-ndjson'


class SearcherStandin:
    """Serves the searcher API of docs/PROTOCOLS.md, with faults on demand."""

    __slots__ = (
        '_busy_slots',
        '_protocol',
        '_random',
        '_cancel_event_by_attempt',
        '_server',
        '_slots',
        '_started_at',
        'counts',
        'faults',
        'profile',
        'versions',
    )

    def __init__(
        self,
        profile: searcher_profile.SearcherProfile,
        listen: address.Address,
        versions: list[int],
    ) -> None:
        """Hold index ``versions``; listen on ``listen`` once entered."""
        self.profile = profile
        self.versions = versions
        self.faults = searcher_faults.SearcherFaults()
        self.counts = searcher_counts.SearcherCounts()
        self._busy_slots = 0
        self._slots = asyncio.Semaphore(profile.slots)
        self._cancel_event_by_attempt: dict[
            attempt_ref.AttemptRef, asyncio.Event
        ] = {}
        self._random = random.Random(profile.seed)
        self._started_at = float(0)
        self._protocol = capped_protocol.protocol_class(
            self.counts,
            profile.connections,
            profile.connect_ms / _MS_PER_S,
        )
        self._server = server.Server(
            self._application(),
            listen,
            protocol=self._protocol,
        )

    @property
    def address(self) -> address.Address:
        """The address that the searcher listens on."""
        return self._server.address

    async def __aenter__(self) -> Self:
        """Start serving; the searcher is cold for ``cold_start_ms``."""
        # Streamed responses import the backend of anyio on first use, which
        # would delay the first reply.
        await lowlevel.checkpoint()
        self._started_at = _now()
        await self._server.__aenter__()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Stop serving."""
        self.faults = searcher_faults.SearcherFaults()
        await self._server.__aexit__(kind, error, trace)

    def apply_faults(self, faults: searcher_faults.SearcherFaults) -> None:
        """Replace the faults; ``silent`` affects the open connections only."""
        self.faults = faults
        if faults.silent:
            for connection in self._protocol.open_now:
                connection.is_silent = True

    def _application(self) -> applications.Starlette:
        return applications.Starlette(
            routes=[
                routing.Route('/v1/query', self._query, methods=['POST']),
                routing.Route('/v1/cancel', self._cancel, methods=['POST']),
                routing.Route('/v1/command', self._command, methods=['POST']),
                routing.Route('/v1/health', self._health),
                routing.Route('/v1/load', self._health),
                routing.Route(
                    '/standin/faults',
                    self._set_faults,
                    methods=['POST'],
                ),
                routing.Route(
                    '/standin/versions',
                    self._set_versions,
                    methods=['POST'],
                ),
                routing.Route('/standin/counts', self._counts),
            ],
        )

    async def _query(self, request: requests.Request) -> responses.Response:
        await self._wait_while_frozen()
        decoded = await _read_body(request, query_batch.QueryBatch)
        match decoded:
            case result.Ok(batch):
                return responses.StreamingResponse(
                    self._reply_lines(batch),
                    media_type=_NDJSON,
                )
            case result.Err(failure):
                return replies.of_problem(failure)
        return replies.of_problem(_NO_BATCH)

    async def _cancel(self, request: requests.Request) -> responses.Response:
        await self._wait_while_frozen()
        decoded = await _read_body(request, cancel_batch.CancelBatch)
        if decoded.is_err():
            return replies.of_problem(decoded.unwrap_err())
        for ref in decoded.unwrap().entries:
            cancelled = self._cancel_event_by_attempt.get(ref)
            if cancelled is not None:
                self.counts.cancelled += 1
                cancelled.set()
        return replies.of_message(True)

    async def _command(self, request: requests.Request) -> responses.Response:
        await self._wait_while_frozen()
        decoded = await _read_body(request, searcher_command.SearcherCommand)
        if decoded.is_err():
            return replies.of_problem(decoded.unwrap_err())
        command = decoded.unwrap()
        if self._refuses_all() or not self._has_capacity():
            return replies.of_message(
                searcher_result.SearcherResult(
                    key=command.key,
                    outcome='refused',
                    retry_after_ms=_SHED_RETRY_MS,
                ),
            )
        await self._take_slot()
        try:
            await asyncio.sleep(self._work_time_s(1))
            runs = self.counts.runs_by_key.get(command.key, 0) + 1
            self.counts.runs_by_key[command.key] = runs
        finally:
            self._free_slot()
        await asyncio.sleep(self.faults.late_ms / _MS_PER_S)
        return replies.of_message(
            searcher_result.SearcherResult(
                key=command.key,
                outcome='done',
                result=f'run {runs} of {command.body} on {command.shard}',
            ),
        )

    async def _health(self, request: requests.Request) -> responses.Response:
        await self._wait_while_frozen()
        reported_busy_slots = (
            _FALSE_BUSY_SLOTS if self.faults.false_load else self._busy_slots
        )
        return replies.of_message(
            searcher_health.SearcherHealth(
                state=self._state(),
                in_flight=reported_busy_slots,
                slots=self.profile.slots,
                versions=self.versions,
            ),
        )

    async def _set_faults(
        self,
        request: requests.Request,
    ) -> responses.Response:
        decoded = codec.decode(
            searcher_faults.SearcherFaults,
            await request.body(),
        )
        self.apply_faults(decoded.unwrap())
        return replies.of_message(self.faults)

    async def _set_versions(
        self,
        request: requests.Request,
    ) -> responses.Response:
        self.versions = codec.decode(
            list[int],
            await request.body(),
        ).unwrap()
        return replies.of_message(self.versions)

    async def _counts(self, request: requests.Request) -> responses.Response:
        return replies.of_message(self.counts)

    async def _reply_lines(
        self,
        batch: query_batch.QueryBatch,
    ) -> AsyncIterator[bytes]:
        refusal = self._refusal()
        if refusal:
            for entry in batch.entries:
                yield _encode_line(self._refused_reply(entry, refusal))
            return
        await self._take_slot()
        try:
            self._count_batch(batch)
            async for reply in self._run_batch(batch):
                await self._wait_while_frozen()
                yield _encode_line(reply)
                if self.faults.twice:
                    yield _encode_line(reply)
        finally:
            self._free_slot()

    async def _run_batch(
        self,
        batch: query_batch.QueryBatch,
    ) -> AsyncIterator[sub_reply.SubReply]:
        size = len(batch.entries)
        tasks = [
            asyncio.create_task(self._search(entry, size))
            for entry in batch.entries
        ]
        try:
            for finished in asyncio.as_completed(tasks):
                yield await finished
        finally:
            for task in tasks:
                task.cancel()

    async def _search(
        self,
        entry: sub_query.SubQuery,
        size: int,
    ) -> sub_reply.SubReply:
        ref = attempt_ref.AttemptRef(
            request_id=entry.request_id,
            attempt=entry.attempt,
            shard=entry.shard,
        )
        cancelled = asyncio.Event()
        self._cancel_event_by_attempt[ref] = cancelled
        try:
            async with asyncio.timeout(self._work_time_s(size)):
                await cancelled.wait()
            return self._refused_reply(entry, shard_outcome.CANCELLED)
        except TimeoutError:
            await asyncio.sleep(self.faults.late_ms / _MS_PER_S)
            return self._search_reply(entry)
        finally:
            self._cancel_event_by_attempt.pop(ref, None)

    def _search_reply(self, entry: sub_query.SubQuery) -> sub_reply.SubReply:
        version = entry.index_version
        if version not in self.versions:
            return self._refused_reply(entry, shard_outcome.WITHDRAWN)
        if self.faults.wrong_version:
            version += 1
        return sub_reply.SubReply(
            request_id=entry.request_id,
            attempt=entry.attempt,
            shard=entry.shard,
            index_version=version,
            outcome=shard_outcome.OK,
            hits=list(
                records.search(
                    entry.shard,
                    version,
                    entry.query,
                    entry.limit,
                    self.profile.records_per_shard,
                )
            ),
        )

    def _refused_reply(
        self,
        entry: sub_query.SubQuery,
        outcome: str,
    ) -> sub_reply.SubReply:
        return sub_reply.SubReply(
            request_id=entry.request_id,
            attempt=entry.attempt,
            shard=entry.shard,
            index_version=entry.index_version,
            outcome=outcome,
            retry_after_ms=_SHED_RETRY_MS,
        )

    def _refusal(self) -> str:
        if self.faults.draining:
            return shard_outcome.DRAINING
        if self.faults.shedding or not self._has_capacity():
            self.counts.shed += 1
            return shard_outcome.SHED
        return ''

    def _refuses_all(self) -> bool:
        return self.faults.draining or self.faults.shedding

    def _has_capacity(self) -> bool:
        capacity = self.profile.slots + self.profile.backlog
        return self._busy_slots < capacity

    async def _take_slot(self) -> None:
        self._busy_slots += 1
        self.counts.peak_busy_slots = max(
            self.counts.peak_busy_slots,
            self._busy_slots,
        )
        await self._slots.acquire()

    def _free_slot(self) -> None:
        self._busy_slots -= 1
        self._slots.release()

    def _count_batch(self, batch: query_batch.QueryBatch) -> None:
        self.counts.batches += 1
        self.counts.sub_queries += len(batch.entries)
        self.counts.last_work_at = _now()

    def _work_time_s(self, size: int) -> float:
        profile = self.profile
        work_ms = profile.work_ms * (1 + profile.batch_marginal * (size - 1))
        if self._is_straggler():
            work_ms *= profile.straggler_factor
        if self._state() == 'cold':
            work_ms *= profile.cold_factor
        return work_ms * self.faults.slow_factor / _MS_PER_S

    def _is_straggler(self) -> bool:
        one_in = self.profile.straggler_one_in
        return one_in > 0 and self._random.randrange(one_in) == 0

    def _state(self) -> str:
        if self.faults.draining:
            return 'draining'
        if self.faults.cold:
            return 'cold'
        age_ms = (_now() - self._started_at) * _MS_PER_S
        return 'cold' if age_ms < self.profile.cold_start_ms else 'ready'

    async def _wait_while_frozen(self) -> None:
        while self.faults.frozen:
            await asyncio.sleep(_FROZEN_POLL_S)


def _now() -> float:
    return asyncio.get_running_loop().time()


def _encode_line(reply: sub_reply.SubReply) -> bytes:
    return b'%b\n' % codec.encode(reply)


async def _read_body(
    request: requests.Request,
    kind: type,
) -> result.Result[object, problem.Problem]:
    raw_body = await bodies.read(request, bodies.MAX_PEER_BYTES)
    return raw_body.and_then(lambda payload: codec.decode(kind, payload))
