"""Runs searches: selects an index version, queries owners, merges hits."""

import asyncio
import random
import secrets

import result

from chivepond.control import catalog, configuration, directory
from chivepond.decisions import owner_hedge
from chivepond.entry import (
    admission_gate,
    cursor,
    owner_asks,
    search_check,
    search_collector,
    search_merge,
    search_state,
)
from chivepond.entry import peers as peer_clients
from chivepond.errors import problem
from chivepond.observe import search_trace, telemetry
from chivepond.owner import owner
from chivepond.settings import node_settings, search_service
from chivepond.wire import search_answer, search_request

_MS_PER_S = 1000
_ID_BYTES = 12


class Searches:
    """Answers the searches that callers send to one node."""

    __slots__ = (
        '_catalog',
        '_collector',
        '_configuration',
        '_gate',
        '_telemetry',
    )

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        config: configuration.Configuration,
        index_catalog: catalog.Catalog,
        host_directory: directory.Directory,
        peers: peer_clients.Peers,
        local_owner: owner.Owner,
        recorder: telemetry.Telemetry,
    ) -> None:
        """Call ``local_owner`` for this node's shards, ``peers`` for others."""
        self._configuration = config
        self._catalog = index_catalog
        hedge = owner_hedge.OwnerHedge()
        self._collector = search_collector.SearchCollector(
            owner_asks.OwnerRequestSender(
                settings, host_directory, peers, local_owner, hedge
            ),
            hedge,
            index_catalog,
        )
        self._telemetry = recorder
        self._gate = admission_gate.AdmissionGate(random.Random())

    @property
    def gate(self) -> admission_gate.AdmissionGate:
        """The admission gate of the node; commands use it as well."""
        return self._gate

    async def search(
        self,
        request: search_request.SearchRequest,
    ) -> result.Result[search_answer.SearchAnswer, problem.Problem]:
        """Run a search; return its answer, or the error that prevented it."""
        trace = search_trace.SearchTrace(
            request_id=request.request_id or secrets.token_urlsafe(_ID_BYTES),
            started_at=_now(),
        )
        answer = await self._answer(request, trace)
        took_ms = round((_now() - trace.started_at) * _MS_PER_S, 1)
        self._telemetry.search_done(request, answer, trace, took_ms)
        return answer

    async def _answer(
        self,
        request: search_request.SearchRequest,
        trace: search_trace.SearchTrace,
    ) -> result.Result[search_answer.SearchAnswer, problem.Problem]:
        service = self._configuration.service(request.service)
        if service is None:
            return result.Err(search_check.unknown_service(request.service))
        page = cursor.Cursor(version=0, offset=0)
        if request.cursor:
            decoded_cursor = cursor.from_text(request.cursor)
            if decoded_cursor.is_err():
                return decoded_cursor
            page = decoded_cursor.unwrap()
        request_problem = search_check.check(request, service, page)
        if request_problem is not None:
            return result.Err(request_problem)
        state = self._pin_snapshot(request, service, page, trace)
        if state is None:
            newest = self._catalog.current(request.service)
            return result.Err(
                search_check.snapshot_problem(
                    request.service, page.version, newest
                ),
            )
        return await self._run_admitted(state, service, page, trace)

    async def _run_admitted(
        self,
        state: search_state.SearchState,
        service: search_service.SearchService,
        page: cursor.Cursor,
        trace: search_trace.SearchTrace,
    ) -> result.Result[search_answer.SearchAnswer, problem.Problem]:
        refusal = self._gate.enter(state.request, service)
        if refusal is not None:
            return result.Err(refusal)
        answer = None
        try:
            answer = await self._run_traced(state, service, page, trace)
        finally:
            waited_share = None if answer is None else trace.waited_share
            self._gate.leave(state.request, waited_share)
        return result.Ok(answer)

    async def _run_traced(
        self,
        state: search_state.SearchState,
        service: search_service.SearchService,
        page: cursor.Cursor,
        trace: search_trace.SearchTrace,
    ) -> search_answer.SearchAnswer:
        state = await self._collector.run(
            state,
            service.answer,
            trace.started_at,
            bool(page.version),
        )
        trace.attempts = state.attempts
        trace.waited_share = state.waited / max(
            1, len(state.index.searchers_by_shard)
        )
        trace.snapshot = f'{state.index.index}@{state.index.version}'
        return search_merge.merge(state, page)

    def _pin_snapshot(
        self,
        request: search_request.SearchRequest,
        service: search_service.SearchService,
        page: cursor.Cursor,
        trace: search_trace.SearchTrace,
    ) -> search_state.SearchState | None:
        if page.version:
            index = self._catalog.at(request.service, page.version)
        else:
            index = self._catalog.current(request.service)
        if index is None:
            return None
        deadline_ms = request.deadline_ms or service.deadline_ms
        deadline_ms = min(deadline_ms, service.deadline_ms)
        return search_state.SearchState(
            request=request,
            request_id=trace.request_id,
            index=index,
            deadline=trace.started_at + deadline_ms / _MS_PER_S,
            wanted=page.offset + request.limit,
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
