"""Searches: pin a snapshot, ask the owners, merge, say what is covered."""

import asyncio
import random
import secrets

import result

from chivepond.control import (
    catalog,
    configuration,
    directory,
    shard_index,
)
from chivepond.decisions import answer_time
from chivepond.entry import (
    admission_gate,
    cursor,
    place,
    planner,
    search_state,
)
from chivepond.entry import peers as peer_clients
from chivepond.errors import invalid, not_run, problem, quoting
from chivepond.observe import search_trace, telemetry
from chivepond.owner import owner, owner_call
from chivepond.settings import node_settings, search_service
from chivepond.wire import (
    owner_answer,
    owner_query,
    search_answer,
    search_request,
    shard_entry,
    shard_outcome,
    snapshot,
)

_MS_PER_S = 1000
_ID_BYTES = 12
_LOCAL_MARGIN_S = 0.004
_REMOTE_MARGIN_S = 0.03
_MIN_LEFT_S = 0.01
_RETRY_MS = 200
_MAX_OFFSET = 1000

_OwnerTask = asyncio.Task[
    result.Result[owner_answer.OwnerAnswer, problem.Problem]
]


class Searches:
    """Answers searches for the callers of one node."""

    __slots__ = (
        '_catalog',
        '_configuration',
        '_directory',
        '_gate',
        '_owner',
        '_peers',
        '_planner',
        '_settings',
        '_tasks',
        '_telemetry',
    )

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        configured: configuration.Configuration,
        indexes: catalog.Catalog,
        hosts: directory.Directory,
        peers: peer_clients.Peers,
        owned: owner.Owner,
        told: telemetry.Telemetry,
    ) -> None:
        """Ask ``owned`` for this node's own searchers, peers for the rest."""
        self._settings = settings
        self._configuration = configured
        self._catalog = indexes
        self._directory = hosts
        self._peers = peers
        self._owner = owned
        self._telemetry = told
        self._planner = planner.Planner(settings.data_centre, settings.region)
        self._tasks: set[_OwnerTask] = set()
        self._gate = admission_gate.AdmissionGate(random.Random())

    @property
    def gate(self) -> admission_gate.AdmissionGate:
        """The gate of the node, which its commands pass as well."""
        return self._gate

    async def search(
        self,
        request: search_request.SearchRequest,
    ) -> result.Result[search_answer.SearchAnswer, problem.Problem]:
        """Answer a search, or say why it was not run."""
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
            return result.Err(_unknown_service(request.service))
        page = cursor.Cursor(version=0, offset=0)
        if request.cursor:
            read = cursor.from_text(request.cursor)
            if read.is_err():
                return read
            page = read.unwrap()
        checked = _check(request, service, page)
        if checked is not None:
            return result.Err(checked)
        state = self._pin(request, service, page, trace)
        if state is None:
            newest = self._catalog.current(request.service)
            return result.Err(
                _no_snapshot(request.service, page.version, newest),
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
            waited = None if answer is None else trace.waited_share
            self._gate.leave(state.request, waited)
        return result.Ok(answer)

    async def _run_traced(
        self,
        state: search_state.SearchState,
        service: search_service.SearchService,
        page: cursor.Cursor,
        trace: search_trace.SearchTrace,
    ) -> search_answer.SearchAnswer:
        state = await self._run(
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
        return _merge(state, page)

    def _pin(
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

    async def _run(
        self,
        state: search_state.SearchState,
        policy: search_service.answer_policy.AnswerPolicy,
        started_at: float,
        is_pinned: bool,
    ) -> search_state.SearchState:
        """Run a search, and start over when its version is withdrawn.

        Guards against an index version that goes away under a search: it
        shows as shards that no searcher has any more. The newer version is
        searched whole, never merged with the older one; where too little
        time was left for it, the older answer stands.
        """
        await self._collect(state, policy, started_at)
        newer = self._catalog.current(state.request.service)
        is_stale = state.is_withdrawn and not is_pinned
        has_time = state.deadline - _now() > _MIN_LEFT_S
        if is_stale and has_time and _is_newer(newer, state.index):
            again = search_state.SearchState(
                request=state.request,
                request_id=f'{state.request_id}.{newer.version}',
                index=newer,
                deadline=state.deadline,
                wanted=state.wanted,
                attempts=state.attempts,
            )
            await self._collect(again, policy, started_at)
            again.request_id = state.request_id
            return max(again, state, key=_covered)
        return state

    async def _collect(
        self,
        state: search_state.SearchState,
        policy: search_service.answer_policy.AnswerPolicy,
        started_at: float,
    ) -> None:
        running = self._ask_all(state, list(state.index.searchers_by_shard))
        while running and _now() < state.deadline:
            progress = _progress(state, started_at)
            if answer_time.is_due(policy, progress):
                break
            until = _next_look(state, policy, started_at)
            finished, running = await asyncio.wait(
                running,
                timeout=max(0, until - _now()),
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in finished:
                running |= self._take(state, task)

    def _take(
        self,
        state: search_state.SearchState,
        task: _OwnerTask,
    ) -> set[_OwnerTask]:
        """Take one owner's answer; ask elsewhere for what it lacks."""
        shards = task.get_name().split('\n')
        for shard in shards:
            state.reason_by_shard[shard] = shard_outcome.UNREACHABLE
        match task.result():
            case result.Ok(answer):
                state.absorb(answer, shards)
        lost = [shard for shard in shards if shard not in state.covered]
        if not lost or state.deadline - _now() < _MIN_LEFT_S:
            return set()
        return self._ask_all(state, lost)

    def _ask_all(
        self,
        state: search_state.SearchState,
        shards: list[str],
    ) -> set[_OwnerTask]:
        """Ask the next place of each shard; one message for each place."""
        entries_by_place: dict[place.Place, list[shard_entry.ShardEntry]] = {}
        for shard in shards:
            found = self._next_place(state, shard)
            if found is None:
                state.reason_by_shard.setdefault(
                    shard,
                    shard_outcome.NO_REPLICA,
                )
                continue
            where, replicas = found
            entries_by_place.setdefault(where, []).append(
                shard_entry.ShardEntry(shard=shard, searchers=replicas),
            )
        return {
            self._ask(state, where, entries)
            for where, entries in entries_by_place.items()
        }

    def _next_place(
        self,
        state: search_state.SearchState,
        shard: str,
    ) -> tuple[place.Place, list[str]] | None:
        tried = state.tried_by_shard.setdefault(shard, set())
        places = self._planner.places(
            self._directory.view,
            state.index.searchers_by_shard[shard],
        )
        for where, replicas in places.items():
            if where not in tried:
                tried.add(where)
                return where, replicas
        return None

    def _ask(
        self,
        state: search_state.SearchState,
        where: place.Place,
        entries: list[shard_entry.ShardEntry],
    ) -> _OwnerTask:
        is_local = where.data_centre == self._settings.data_centre
        margin_s = _LOCAL_MARGIN_S if is_local else _REMOTE_MARGIN_S
        left_s = max(0, state.deadline - _now() - margin_s)
        query = owner_query.OwnerQuery(
            request_id=state.request_id,
            service=state.request.service,
            index_version=state.index.version,
            query=state.request.query,
            limit=state.wanted,
            remaining_ms=int(left_s * _MS_PER_S),
            shards=entries,
        )
        task = asyncio.create_task(
            self._exchange(where, query, state.deadline - _now()),
            name='\n'.join(entry.shard for entry in entries),
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _exchange(
        self,
        where: place.Place,
        query: owner_query.OwnerQuery,
        left_s: float,
    ) -> result.Result[owner_answer.OwnerAnswer, problem.Problem]:
        if where.node_id == self._settings.node_id:
            return result.Ok(await self._owner.answer(query))
        return await self._peers.post(
            owner_answer.OwnerAnswer,
            where.node_id,
            '/internal/query',
            query,
            left_s,
        )


def _now() -> float:
    return asyncio.get_running_loop().time()


def _progress(
    state: search_state.SearchState,
    started_at: float,
) -> answer_time.Progress:
    total = len(state.index.searchers_by_shard)
    return answer_time.Progress(
        total=total,
        covered=len(state.covered),
        pending=total - len(state.covered),
        elapsed_ms=(_now() - started_at) * _MS_PER_S,
    )


def _next_look(
    state: search_state.SearchState,
    policy: search_service.answer_policy.AnswerPolicy,
    started_at: float,
) -> float:
    """Return when to look again, if no owner answers before."""
    patient_until = started_at + policy.patience_ms / _MS_PER_S
    if policy.when == 'coverage' and _now() < patient_until:
        return min(state.deadline, patient_until)
    return state.deadline


def _covered(state: search_state.SearchState) -> int:
    return len(state.covered)


def _is_newer(
    newer: shard_index.ShardIndex | None,
    index: shard_index.ShardIndex,
) -> bool:
    return newer is not None and newer.version > index.version


def _merge(
    state: search_state.SearchState,
    page: cursor.Cursor,
) -> search_answer.SearchAnswer:
    best = owner_call.best(state.hits, state.wanted)
    more = ''
    if len(best) == state.wanted and state.wanted < _MAX_OFFSET:
        more = cursor.to_text(
            cursor.Cursor(version=state.index.version, offset=state.wanted),
        )
    return search_answer.SearchAnswer(
        request_id=state.request_id,
        snapshot=snapshot.Snapshot(
            index=state.index.index,
            version=state.index.version,
        ),
        coverage=state.coverage(),
        hits=best[page.offset :],
        cursor=more,
    )


def _check(
    request: search_request.SearchRequest,
    service: search_service.SearchService,
    page: cursor.Cursor,
) -> invalid.Invalid | None:
    if not 1 <= request.limit <= service.max_limit:
        return invalid.Invalid(
            message=f'limit is {request.limit}',
            remedy=f'ask for 1 to {service.max_limit} hits',
        )
    if not 0 <= page.offset <= _MAX_OFFSET or request.deadline_ms < 0:
        return invalid.Invalid(
            message='the cursor or deadline_ms is out of range',
            remedy='send the cursor unchanged, and deadline_ms of 0 or more',
        )
    return None


def _unknown_service(name: str) -> invalid.Invalid:
    return invalid.Invalid(
        message=f'there is no service {quoting.quoted(name)}',
        remedy='name a service of the search section of the document',
    )


def _no_snapshot(
    service: str,
    version: int,
    newest: shard_index.ShardIndex | None,
) -> problem.Problem:
    """Say why there is no snapshot; a version not heard of yet may come."""
    if version and newest is not None and version > newest.version:
        return not_run.NotRun(
            message=f'version {version} of {service} is not known here yet',
            remedy='send the same cursor again',
            retry_after_ms=_RETRY_MS,
        )
    if version:
        return invalid.Invalid(
            message=f'version {version} of {service} was withdrawn',
            remedy='search again without the cursor',
        )
    return not_run.NotRun(
        message=f'no index of {service} is published',
        remedy='publish one, or come back when it is',
        retry_after_ms=_RETRY_MS,
    )
