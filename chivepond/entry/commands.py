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
_MARGIN_S = 0.05
_POLL_S = 0.05
_SETTLE_S = 0.25
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
        'latest_deadline',
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
        #: When the last of the commands so far is over, in the loop's time.
        self.latest_deadline = float(0)
        self._telemetry = told
        self._planner = planner.Planner(settings.data_centre, settings.region)

    async def run(self, request: command_request.CommandRequest) -> _Answer:
        """Run a command at most once, or say how its key stands."""
        answer = await self._run(request)
        self._telemetry.command_done(request, answer)
        return answer

    async def standing(self, key: str) -> _Answer:
        """Return how a key stands."""
        if request_key.issued_ms(key).is_err():
            return request_key.issued_ms(key)
        held = await self._claims.read(key)
        if held.is_err():
            return held
        return await self._standing(held.unwrap().claim)

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
        self.latest_deadline = max(self.latest_deadline, deadline)
        try:
            async with asyncio.timeout_at(deadline + _SETTLE_S):
                return await self._claim(request, deadline)
        except TimeoutError:
            return result.Err(command_runner.unknown(request.key))

    async def _claim(
        self,
        request: command_request.CommandRequest,
        deadline: float,
    ) -> _Answer:
        """Claim the key; follow whoever claimed it before.

        While the platform is away nothing is sent. That is no "not run":
        an earlier send of this key, through another node, may have run.
        Guards against callers that wait in vain for a platform known to be
        away: it shows as refusals that take seconds.
        """
        if self._claims.is_away():
            return result.Err(_unseen(request.key))
        fresh = claim.Claim(
            key=request.key,
            service=request.service,
            state=claim_store.CLAIMED,
            digest=_digest(request),
            holder=self._settings.node_id,
        )
        match await self._claims.create(fresh):
            case result.Ok(mine):
                return await self._start(request, mine, deadline)
            case result.Err(problem.Problem(kind='conflict')):
                return await self._follow(fresh, deadline)
        return result.Err(_unseen(request.key))

    async def _start(
        self,
        request: command_request.CommandRequest,
        mine: claim_store.HeldClaim,
        deadline: float,
    ) -> _Answer:
        """Hand the key over, unless an old claim of it may have been swept.

        The floor is read after the claim was made: see ClaimSweeper.sweep.
        """
        match await self._claims.floor():
            case result.Ok(floor_ms) if not _is_swept(request.key, floor_ms):
                return await self._hand_over(request, mine, deadline)
        return await self._withdraw(mine, deadline)

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
            return await self._withdraw(mine, deadline)
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
            case result.Ok(_) | result.Err(
                problem.Problem(kind='outcome_unknown'),
            ):
                return answer
        return await self._withdraw(mine, deadline)

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
        deadline: float,
    ) -> _Answer:
        """Say "not run" once the claim is cancelled, so that it stays true.

        Guards against an owner that is slow or paused and would send after
        the caller was told: its step to `dispatched` fails from here on.
        """
        found = await self._claims.settle(
            held,
            claim_store.CANCELLED,
            '',
            deadline,
        )
        match found:
            case result.Ok(seen) if seen.claim.state in _OPEN_STATES:
                return await self._follow(seen.claim, deadline)
            case result.Ok(seen):
                return await self._standing(seen.claim)
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
                return await self._standing(seen.claim)
            if _now() > deadline - _MARGIN_S:
                return await self._give_up(seen, deadline)
            await asyncio.sleep(_POLL_S)

    async def _give_up(
        self,
        seen: claim_store.HeldClaim,
        deadline: float,
    ) -> _Answer:
        if seen.claim.state == claim_store.CLAIMED:
            return await self._withdraw(seen, deadline)
        return await self._standing(seen.claim)

    async def _standing(self, seen: claim.Claim) -> _Answer:
        """Say how a claim stands, and "not run" only where that is proved.

        Guards against a claim that was made anew after the one of its key
        was swept, by a node that slept meanwhile: it shows as "not run" for
        a command that ran. The floor tells of those.
        """
        if seen.state != claim_store.CANCELLED:
            return _told(seen)
        match await self._claims.floor():
            case result.Ok(floor_ms) if _is_swept(seen.key, floor_ms):
                return result.Err(_expired(seen.key))
            case result.Ok(_):
                return _told(seen)
        return result.Err(command_runner.unknown(seen.key))

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
            self._peers.drains.without(
                index.searchers_by_shard[shard],
                _now(),
            ),
        )
        if not places:
            return None
        where, replicas = next(iter(places.items()))
        return where, shard, replicas[0]


def _told(seen: claim.Claim) -> _Answer:
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
        return result.Err(_not_run())
    if seen.state == claim_store.CLAIMED:
        return result.Ok(
            command_answer.CommandAnswer(key=seen.key, outcome='pending'),
        )
    return result.Err(command_runner.unknown(seen.key))


def _is_swept(key: str, floor_ms: int) -> bool:
    return request_key.issued_ms(key).unwrap() <= floor_ms


def _digest(request: command_request.CommandRequest) -> str:
    text = f'{request.service}\0{request.shard_key}\0{request.body}'
    return hashlib.sha256(text.encode()).hexdigest()


def _other_body(key: str) -> invalid.Invalid:
    return invalid.Invalid(
        message=f'{key} was used for another request',
        remedy='issue a new key for each request',
    )


def _expired(key: str) -> key_expired.KeyExpired:
    return key_expired.KeyExpired(
        message=f'{key} was issued too long ago to know whether it ran',
        remedy='see whether it ran, then issue a new key',
    )


def _not_run() -> not_run.NotRun:
    return not_run.NotRun(
        message='not run: it was cancelled before it was sent',
        remedy='send it again later, under a new key',
        retry_after_ms=_RETRY_MS,
    )


def _unseen(key: str) -> outcome_unknown.OutcomeUnknown:
    return outcome_unknown.OutcomeUnknown(
        message=f'{key} was not sent now, as the platform is away; an '
        'earlier send of it may have run',
        remedy='send it again later, under the same key',
        retry_after_ms=_RETRY_MS,
    )


def _now() -> float:
    return asyncio.get_running_loop().time()
