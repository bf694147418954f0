"""Runs non-idempotent requests: claims the key, then calls the owner once."""

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
from chivepond.errors import (
    invalid,
    key_expired,
    not_run,
    outcome_unknown,
    problem,
    quoting,
)
from chivepond.observe import telemetry
from chivepond.owner import command_runner
from chivepond.settings import node_settings
from chivepond.wire import (
    claim,
    command_answer,
    command_request,
    owner_command,
)

_MS_PER_S = 1000
_REPLY_MARGIN_S = 0.05
_CLAIM_POLL_S = 0.05
_SETTLE_GRACE_S = 0.25
_RETRY_AFTER_MS = 500
_MAX_CLOCK_AHEAD_MS = 60000

_OPEN_STATES = frozenset(
    (claim_store.CLAIMED, claim_store.DISPATCHED),
)

_Answer = result.Result[command_answer.CommandAnswer, problem.Problem]


class Commands:
    """Runs commands that callers send to one node, each key at most once."""

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
        'latest_deadline',
    )

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        config: configuration.Configuration,
        index_catalog: catalog.Catalog,
        host_directory: directory.Directory,
        peers: peer_clients.Peers,
        claims: claim_store.ClaimStore,
        runner: command_runner.CommandRunner,
        recorder: telemetry.Telemetry,
    ) -> None:
        """Run by ``runner`` where this node is the owner, else by peers."""
        self._settings = settings
        self._configuration = config
        self._catalog = index_catalog
        self._directory = host_directory
        self._peers = peers
        self._claims = claims
        self._runner = runner
        #: The latest deadline of all commands so far, on the loop's clock.
        self.latest_deadline = float(0)
        self._telemetry = recorder
        self._planner = planner.Planner(settings.data_centre, settings.region)

    async def run(self, request: command_request.CommandRequest) -> _Answer:
        """Run a command at most once, or return the status of its key."""
        answer = await self._run(request)
        self._telemetry.command_done(request, answer)
        return answer

    async def key_status(self, key: str) -> _Answer:
        """Return the status of the command with this key."""
        if request_key.issued_ms(key).is_err():
            return request_key.issued_ms(key)
        claim_read = await self._claims.read(key)
        if claim_read.is_err():
            return claim_read
        return await self._verified_answer(claim_read.unwrap().claim)

    async def _run(self, request: command_request.CommandRequest) -> _Answer:
        service = self._configuration.service(request.service)
        if service is None:
            return result.Err(
                invalid.Invalid(
                    message='unknown service'
                    f' {quoting.quoted(request.service)}',
                    remedy='use a service that the search section defines',
                ),
            )
        key_problem = self._check_key(request.key)
        if key_problem is not None:
            return result.Err(key_problem)
        deadline_ms = request.deadline_ms or service.deadline_ms
        deadline = _now() + deadline_ms / _MS_PER_S
        self.latest_deadline = max(self.latest_deadline, deadline)
        try:
            async with asyncio.timeout_at(deadline + _SETTLE_GRACE_S):
                return await self._claim_key(request, deadline)
        except TimeoutError:
            return result.Err(command_runner.unknown(request.key))

    async def _claim_key(
        self,
        request: command_request.CommandRequest,
        deadline: float,
    ) -> _Answer:
        """Claim the key, or wait for the request that claimed it earlier.

        While the platform is known to be unavailable nothing is sent, and
        the caller gets an error at once instead of after seconds of waiting.
        The error is ``outcome_unknown``, not ``not_run``: an earlier attempt
        with this key may have run through another node.
        """
        if self._claims.is_away():
            return result.Err(_platform_unavailable(request.key))
        new_claim = claim.Claim(
            key=request.key,
            service=request.service,
            state=claim_store.CLAIMED,
            digest=_digest(request),
            holder=self._settings.node_id,
        )
        match await self._claims.create(new_claim):
            case result.Ok(own_claim):
                return await self._dispatch_unless_swept(
                    request, own_claim, deadline
                )
            case result.Err(problem.Problem(kind='conflict')):
                return await self._await_claim(new_claim, deadline)
        return result.Err(_platform_unavailable(request.key))

    async def _dispatch_unless_swept(
        self,
        request: command_request.CommandRequest,
        own_claim: claim_store.HeldClaim,
        deadline: float,
    ) -> _Answer:
        """Dispatch the command unless an older claim of it may be deleted.

        The floor must be read after the claim is created; see
        ``ClaimSweeper.sweep``.
        """
        match await self._claims.floor():
            case result.Ok(floor_ms) if not _is_swept(request.key, floor_ms):
                return await self._dispatch(request, own_claim, deadline)
        return await self._withdraw(own_claim, deadline)

    def _check_key(self, key: str) -> problem.Problem | None:
        issued = request_key.issued_ms(key)
        if issued.is_err():
            return issued.unwrap_err()
        age_ms = time.time() * _MS_PER_S - issued.unwrap()
        retention_s = self._configuration.document.audit.claim_retention_s
        if age_ms > retention_s * _MS_PER_S:
            return key_expired.KeyExpired(
                message=f'{key} was issued more than {retention_s} s ago',
                remedy='check whether the command ran before issuing a new key',
            )
        if age_ms < -_MAX_CLOCK_AHEAD_MS:
            return invalid.Invalid(
                message=f'{key} has an issue time in the future',
                remedy='correct the clock of the caller',
            )
        return None

    async def _dispatch(
        self,
        request: command_request.CommandRequest,
        own_claim: claim_store.HeldClaim,
        deadline: float,
    ) -> _Answer:
        choice = self._choose_target(request)
        if choice is None:
            return await self._withdraw(own_claim, deadline)
        target, shard, searcher_id = choice
        remaining_s = max(0, deadline - _now() - _REPLY_MARGIN_S)
        command = owner_command.OwnerCommand(
            claim_version=own_claim.version,
            service=request.service,
            key=request.key,
            shard=shard,
            searcher_id=searcher_id,
            body=request.body,
            remaining_ms=int(remaining_s * _MS_PER_S),
        )
        answer = await self._exchange(target, command, deadline - _now())
        match answer:
            case result.Ok(_) | result.Err(
                problem.Problem(kind='outcome_unknown'),
            ):
                return answer
        return await self._withdraw(own_claim, deadline)

    async def _exchange(
        self,
        target: place.OwnerNode,
        command: owner_command.OwnerCommand,
        remaining_s: float,
    ) -> _Answer:
        if target.node_id == self._settings.node_id:
            return await self._runner.run(command)
        return await self._peers.post(
            command_answer.CommandAnswer,
            target.node_id,
            '/internal/command',
            command,
            remaining_s,
        )

    async def _withdraw(
        self,
        stored_claim: claim_store.HeldClaim,
        deadline: float,
    ) -> _Answer:
        """Cancel the claim, then report ``not_run``.

        An owner that is slow or paused could otherwise send the command
        after the caller received ``not_run``. Once the claim is cancelled,
        the owner can no longer move it to ``dispatched``. If another write
        came first, the answer follows from the claim as it is then.
        """
        settled = await self._claims.settle(
            stored_claim,
            claim_store.CANCELLED,
            '',
            deadline,
        )
        match settled:
            case result.Ok(latest_claim) if (
                latest_claim.claim.state in _OPEN_STATES
            ):
                return await self._await_claim(latest_claim.claim, deadline)
            case result.Ok(latest_claim):
                return await self._verified_answer(latest_claim.claim)
        return result.Err(command_runner.unknown(stored_claim.claim.key))

    async def _await_claim(
        self, expected: claim.Claim, deadline: float
    ) -> _Answer:
        """Poll a claim of another request until it is settled or time is up."""
        while True:
            claim_read = await self._claims.read(expected.key)
            if claim_read.is_err():
                return result.Err(command_runner.unknown(expected.key))
            latest_claim = claim_read.unwrap()
            if latest_claim.claim.digest != expected.digest:
                return result.Err(_key_reused(expected.key))
            if latest_claim.claim.state not in _OPEN_STATES:
                return await self._verified_answer(latest_claim.claim)
            if _now() > deadline - _REPLY_MARGIN_S:
                return await self._answer_at_deadline(latest_claim, deadline)
            await asyncio.sleep(_CLAIM_POLL_S)

    async def _answer_at_deadline(
        self,
        latest_claim: claim_store.HeldClaim,
        deadline: float,
    ) -> _Answer:
        if latest_claim.claim.state == claim_store.CLAIMED:
            return await self._withdraw(latest_claim, deadline)
        return await self._verified_answer(latest_claim.claim)

    async def _verified_answer(self, latest_claim: claim.Claim) -> _Answer:
        """Return the answer for a claim; ``not_run`` only where it is proved.

        A node that was suspended can claim a key again after its first claim
        was deleted, so a cancelled claim alone doesn't prove that the command
        did not run. For keys at or below the claim floor the answer
        is ``key_expired``.
        """
        if latest_claim.state != claim_store.CANCELLED:
            return _answer_of_claim(latest_claim)
        match await self._claims.floor():
            case result.Ok(floor_ms) if _is_swept(latest_claim.key, floor_ms):
                return result.Err(_key_too_old(latest_claim.key))
            case result.Ok(_):
                return _answer_of_claim(latest_claim)
        return result.Err(command_runner.unknown(latest_claim.key))

    def _choose_target(
        self,
        request: command_request.CommandRequest,
    ) -> tuple[place.OwnerNode, str, str] | None:
        index = self._catalog.current(request.service)
        if index is None:
            return None
        shards = sorted(index.searchers_by_shard)
        shard = rendezvous.ranked(request.shard_key, shards)[0]
        replicas_by_owner = self._planner.replicas_by_owner(
            self._directory.view,
            self._peers.drains.exclude_draining(
                index.searchers_by_shard[shard],
                _now(),
            ),
        )
        if not replicas_by_owner:
            return None
        target, replicas = next(iter(replicas_by_owner.items()))
        return target, shard, replicas[0]


def _answer_of_claim(latest_claim: claim.Claim) -> _Answer:
    if latest_claim.state == claim_store.DONE:
        return result.Ok(
            command_answer.CommandAnswer(
                key=latest_claim.key,
                outcome='done',
                result=latest_claim.result,
                replayed=True,
            ),
        )
    if latest_claim.state == claim_store.CANCELLED:
        return result.Err(_not_run())
    if latest_claim.state == claim_store.CLAIMED:
        return result.Ok(
            command_answer.CommandAnswer(
                key=latest_claim.key, outcome='pending'
            ),
        )
    return result.Err(command_runner.unknown(latest_claim.key))


def _is_swept(key: str, floor_ms: int) -> bool:
    return request_key.issued_ms(key).unwrap() <= floor_ms


def _digest(request: command_request.CommandRequest) -> str:
    text = f'{request.service}\0{request.shard_key}\0{request.body}'
    return hashlib.sha256(text.encode()).hexdigest()


def _key_reused(key: str) -> invalid.Invalid:
    return invalid.Invalid(
        message=f'{key} was already used for a different request',
        remedy='issue a new key for each request',
    )


def _key_too_old(key: str) -> key_expired.KeyExpired:
    return key_expired.KeyExpired(
        message=f'{key} is too old to determine whether its command ran',
        remedy='check whether the command ran before issuing a new key',
    )


def _not_run() -> not_run.NotRun:
    return not_run.NotRun(
        message='the command was not run: it was cancelled before dispatch',
        remedy='retry the command later with a new key',
        retry_after_ms=_RETRY_AFTER_MS,
    )


def _platform_unavailable(key: str) -> outcome_unknown.OutcomeUnknown:
    return outcome_unknown.OutcomeUnknown(
        message=f'{key} was not sent, as the platform is unavailable; an '
        'earlier attempt with the same key may have run',
        remedy='retry the command later with the same key',
        retry_after_ms=_RETRY_AFTER_MS,
    )


def _now() -> float:
    return asyncio.get_running_loop().time()
