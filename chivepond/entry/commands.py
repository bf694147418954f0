"""Non-idempotent requests: claim the key, hand it to its owner, once."""

import asyncio
import hashlib
import time

import result

from chivepond.control import (
    catalog,
    claim_store,
    configuration,
    directory,
    request_key,
)
from chivepond.decisions import rendezvous
from chivepond.entry import peers as peer_clients
from chivepond.entry import place, planner
from chivepond.errors import invalid, key_expired, not_run, problem, quoting
from chivepond.observe import events, journal, telemetry
from chivepond.owner import command_runner
from chivepond.settings import node_settings
from chivepond.wire import (
    claim,
    command_answer,
    command_request,
    owner_command,
)

_MS_PER_S = 1000
_MARGIN_S = 0.05
_POLL_S = 0.05
_RETRY_MS = 500
_MAX_AHEAD_MS = 60000

_OPEN_STATES = frozenset(
    (claim_store.CLAIMED, claim_store.DISPATCHED),
)

_Answer = result.Result[command_answer.CommandAnswer, problem.Problem]


class Commands:
    """Runs commands for the callers of one node."""

    __slots__ = (
        '_catalog',
        '_claims',
        '_configuration',
        '_directory',
        '_peers',
        '_planner',
        '_runner',
        '_settings',
        '_telemetry',
    )

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        configured: configuration.Configuration,
        indexes: catalog.Catalog,
        hosts: directory.Directory,
        peers: peer_clients.Peers,
        claims: claim_store.ClaimStore,
        runner: command_runner.CommandRunner,
        told: telemetry.Telemetry,
    ) -> None:
        """Run through ``runner`` where this node is the owner."""
        self._settings = settings
        self._configuration = configured
        self._catalog = indexes
        self._directory = hosts
        self._peers = peers
        self._claims = claims
        self._runner = runner
        self._telemetry = told
        self._planner = planner.Planner(settings.data_centre, settings.region)

    async def run(self, request: command_request.CommandRequest) -> _Answer:
        """Run a command at most once, or say how its key stands."""
        answer = await self._run(request)
        self._telemetry.command_done(request, answer)
        match answer:
            case result.Ok(given):
                journal.log(
                    events.COMMAND_ANSWERED,
                    key=request.key,
                    outcome=given.outcome,
                    replayed=given.replayed,
                )
            case result.Err(trouble):
                journal.log(
                    events.COMMAND_REFUSED,
                    key=request.key,
                    kind=trouble.kind,
                )
        return answer

    async def standing(self, key: str) -> _Answer:
        """Return how a key stands."""
        if request_key.issued_ms(key).is_err():
            return request_key.issued_ms(key)
        held = await self._claims.read(key)
        return held.and_then(lambda found: _standing(found.claim))

    async def _run(self, request: command_request.CommandRequest) -> _Answer:
        service = self._configuration.service(request.service)
        if service is None:
            return result.Err(
                invalid.Invalid(
                    message=f'no service {quoting.quoted(request.service)}',
                    remedy='name a service of the search section',
                ),
            )
        wrong = self._check_key(request.key)
        if wrong is not None:
            return result.Err(wrong)
        deadline_ms = request.deadline_ms or service.deadline_ms
        deadline = _now() + deadline_ms / _MS_PER_S
        fresh = claim.Claim(
            key=request.key,
            service=request.service,
            state=claim_store.CLAIMED,
            digest=_digest(request),
            holder=self._settings.node_id,
        )
        held = await self._claims.create(fresh)
        match held:
            case result.Ok(mine):
                return await self._hand_over(request, mine, deadline)
            case result.Err(problem.Problem(kind='conflict')):
                return await self._follow(fresh, deadline)
        return result.Err(_not_run('the platform can not be reached'))

    def _check_key(self, key: str) -> problem.Problem | None:
        issued = request_key.issued_ms(key)
        if issued.is_err():
            return issued.unwrap_err()
        age_ms = time.time() * _MS_PER_S - issued.unwrap()
        retention_s = self._configuration.document.audit.claim_retention_s
        if age_ms > retention_s * _MS_PER_S:
            return key_expired.KeyExpired(
                message=f'{key} was issued over {retention_s} s ago',
                remedy='see whether it ran, then issue a new key',
            )
        if age_ms < -_MAX_AHEAD_MS:
            return invalid.Invalid(
                message=f'{key} was issued in the future',
                remedy='set the clock of the caller',
            )
        return None

    async def _hand_over(
        self,
        request: command_request.CommandRequest,
        mine: claim_store.HeldClaim,
        deadline: float,
    ) -> _Answer:
        found = self._place(request)
        if found is None:
            return await self._withdraw(
                mine, 'no searcher of its shard is live'
            )
        where, shard, searcher_id = found
        left_s = max(0, deadline - _now() - _MARGIN_S)
        command = owner_command.OwnerCommand(
            claim_version=mine.version,
            service=request.service,
            key=request.key,
            shard=shard,
            searcher_id=searcher_id,
            body=request.body,
            remaining_ms=int(left_s * _MS_PER_S),
        )
        answer = await self._exchange(where, command, deadline - _now())
        match answer:
            case result.Err(problem.Problem(kind='not_run' | 'unreachable')):
                return await self._withdraw(mine, answer.unwrap_err().message)
        return answer

    async def _exchange(
        self,
        where: place.Place,
        command: owner_command.OwnerCommand,
        left_s: float,
    ) -> _Answer:
        if where.node_id == self._settings.node_id:
            return await self._runner.run(command)
        return await self._peers.post(
            command_answer.CommandAnswer,
            where.node_id,
            '/internal/command',
            command,
            left_s,
        )

    async def _withdraw(
        self,
        held: claim_store.HeldClaim,
        why: str,
    ) -> _Answer:
        """Say "not run" once the claim is cancelled, so that it stays true.

        Guards against an owner that is slow or paused and would send after
        the caller was told: its step to `dispatched` fails from here on.
        """
        moved = await self._claims.advance(held, claim_store.CANCELLED)
        if moved.is_ok():
            return result.Err(_not_run(why))
        found = await self._claims.read(held.claim.key)
        match found:
            case result.Ok(seen):
                return _standing(seen.claim)
        return result.Err(command_runner.unknown(held.claim.key))

    async def _follow(self, wanted: claim.Claim, deadline: float) -> _Answer:
        """Wait for a key that another request claimed before."""
        while True:
            held = await self._claims.read(wanted.key)
            if held.is_err():
                return result.Err(command_runner.unknown(wanted.key))
            seen = held.unwrap()
            if seen.claim.digest != wanted.digest:
                return result.Err(_other_body(wanted.key))
            if seen.claim.state not in _OPEN_STATES:
                return _standing(seen.claim)
            if _now() > deadline - _MARGIN_S:
                return await self._give_up(seen)
            await asyncio.sleep(_POLL_S)

    async def _give_up(self, seen: claim_store.HeldClaim) -> _Answer:
        if seen.claim.state == claim_store.CLAIMED:
            return await self._withdraw(seen, 'its claim was not used')
        return _standing(seen.claim)

    def _place(
        self,
        request: command_request.CommandRequest,
    ) -> tuple[place.Place, str, str] | None:
        index = self._catalog.current(request.service)
        if index is None:
            return None
        shards = sorted(index.searchers_by_shard)
        shard = rendezvous.ranked(request.shard_key, shards)[0]
        places = self._planner.places(
            self._directory.view,
            index.searchers_by_shard[shard],
        )
        if not places:
            return None
        where, replicas = next(iter(places.items()))
        return where, shard, replicas[0]


def _standing(seen: claim.Claim) -> _Answer:
    if seen.state == claim_store.DONE:
        return result.Ok(
            command_answer.CommandAnswer(
                key=seen.key,
                outcome='done',
                result=seen.result,
                replayed=True,
            ),
        )
    if seen.state == claim_store.CANCELLED:
        return result.Err(_not_run('it was cancelled before it was sent'))
    if seen.state == claim_store.CLAIMED:
        return result.Ok(
            command_answer.CommandAnswer(key=seen.key, outcome='pending'),
        )
    return result.Err(command_runner.unknown(seen.key))


def _digest(request: command_request.CommandRequest) -> str:
    text = f'{request.service}\0{request.shard_key}\0{request.body}'
    return hashlib.sha256(text.encode()).hexdigest()


def _other_body(key: str) -> invalid.Invalid:
    return invalid.Invalid(
        message=f'{key} was used for another request',
        remedy='issue a new key for each request',
    )


def _not_run(why: str) -> not_run.NotRun:
    return not_run.NotRun(
        message=f'not run: {why}',
        remedy='send it again later, under a new key',
        retry_after_ms=_RETRY_MS,
    )


def _now() -> float:
    return asyncio.get_running_loop().time()
