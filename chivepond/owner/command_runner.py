"""Runs non-idempotent commands at most once, guarded by a stored claim."""

import asyncio
import types
from typing import Self

import result

from chivepond.control import claim_store
from chivepond.errors import not_connected, not_run, outcome_unknown, problem
from chivepond.observe import events, journal
from chivepond.owner import owner, searcher_queue
from chivepond.transport import exchange
from chivepond.wire import (
    command_answer,
    owner_command,
    searcher_command,
    searcher_result,
)

_MS_PER_S = 1000
_RETRY_MS = 500

#: How long writing an outcome to the platform is retried, in seconds.
_OUTCOME_RETRY_S = 30

_CommandResult = result.Result[command_answer.CommandAnswer, problem.Problem]


class CommandRunner:
    """Runs a command: marks its claim dispatched, sends it, stores the outcome.

    Each command holds one slot of its searcher while it runs.
    """

    __slots__ = ('_claims', '_outcome_writers', '_owner', 'latest_deadline')

    def __init__(
        self,
        owner_role: owner.Owner,
        claims: claim_store.ClaimStore,
    ) -> None:
        """Send through the searcher queues of ``owner_role``."""
        self._owner = owner_role
        self._claims = claims
        #: The latest deadline of all commands so far, in the loop's time.
        self.latest_deadline = float(0)
        self._outcome_writers: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Self:
        """Return the runner; nothing is started."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Wait for pending outcome writes, which end by their retry limit."""
        if self._outcome_writers:
            await asyncio.wait(self._outcome_writers)

    async def run(self, command: owner_command.OwnerCommand) -> _CommandResult:
        """Run a command whose claim the entry node has written.

        Returns the searcher's result, ``NotRun`` when the command was
        certainly not executed, or ``OutcomeUnknown`` when it may have been.
        """
        deadline = _now() + command.remaining_ms / _MS_PER_S
        self.latest_deadline = max(self.latest_deadline, deadline)
        queue = self._owner.queue(command.searcher_id)
        if queue is None or queue.is_leaving:
            return result.Err(
                _not_run_error('the searcher is unknown or leaving')
            )
        async with queue.slot(deadline - _now()) as has_slot:
            if not has_slot:
                return result.Err(
                    _not_run_error('no searcher slot became free in time')
                )
            return await self._dispatch(command, queue, deadline)

    async def _dispatch(
        self,
        command: owner_command.OwnerCommand,
        queue: searcher_queue.SearcherQueue,
        deadline: float,
    ) -> _CommandResult:
        """Send the command only after its claim is stored as `dispatched`.

        An entry that gave up meanwhile and reported "not run" has moved the
        claim to `cancelled`: the conditional write here then fails, and
        nothing is sent. Nothing is sent either when the reply to that write
        is lost.
        """
        dispatched = await self._mark_dispatched(command, deadline)
        if dispatched.is_err():
            return dispatched
        if _now() >= deadline:
            await self._store_outcome(
                dispatched.unwrap(), claim_store.CANCELLED, deadline
            )
            return result.Err(_not_run_error('its deadline passed'))
        return await self._send(command, queue, dispatched.unwrap(), deadline)

    async def _mark_dispatched(
        self,
        command: owner_command.OwnerCommand,
        deadline: float,
    ) -> result.Result[claim_store.HeldClaim, problem.Problem]:
        """Move the claim to `dispatched` if it is unchanged since the entry."""
        claim_read = await self._claims.read(command.key)
        if claim_read.is_err():
            return result.Err(_not_run_error('its claim could not be read'))
        held_claim = claim_read.unwrap()
        if held_claim.version != command.claim_version:
            return result.Err(_not_run_error('its claim was changed meanwhile'))
        if _now() >= deadline:
            return result.Err(_not_run_error('its deadline passed'))
        dispatched = await self._claims.advance(
            held_claim, claim_store.DISPATCHED
        )
        if dispatched.is_err():
            return result.Err(
                _not_run_error('its claim could not be marked dispatched')
            )
        return dispatched

    async def _send(
        self,
        command: owner_command.OwnerCommand,
        queue: searcher_queue.SearcherQueue,
        held_claim: claim_store.HeldClaim,
        deadline: float,
    ) -> _CommandResult:
        left_s = max(0, deadline - _now())
        response = await exchange.post_fresh(
            searcher_result.SearcherResult,
            queue.command_client,
            '/v1/command',
            searcher_command.SearcherCommand(
                key=command.key,
                service=command.service,
                shard=command.shard,
                body=command.body,
                remaining_ms=int(left_s * _MS_PER_S),
            ),
            left_s,
        )
        match response:
            case result.Ok(searcher_reply) if searcher_reply.key != command.key:
                return result.Err(unknown(command.key))
            case result.Ok(searcher_result.SearcherResult(outcome='refused')):
                await self._store_outcome(
                    held_claim, claim_store.CANCELLED, deadline
                )
                return result.Err(
                    _not_run_error('the searcher refused the command')
                )
            case result.Err(not_connected.NotConnected()):
                await self._store_outcome(
                    held_claim, claim_store.CANCELLED, deadline
                )
                return result.Err(
                    _not_run_error('could not connect to the searcher')
                )
            case result.Ok(searcher_result.SearcherResult(outcome='done')):
                outcome = response.unwrap().result
                await self._store_outcome(
                    held_claim, claim_store.DONE, deadline, outcome
                )
                return result.Ok(
                    command_answer.CommandAnswer(
                        key=command.key,
                        outcome='done',
                        result=outcome,
                    ),
                )
        return result.Err(unknown(command.key))

    async def _store_outcome(
        self,
        held_claim: claim_store.HeldClaim,
        state: str,
        deadline: float,
        outcome: str = '',
    ) -> None:
        """Write the outcome to the platform; wait for it until the deadline.

        If the platform fails at this moment, an outcome that the caller has
        received would be lost, and a repeat would get "outcome unknown". The
        write therefore runs in a task of its own, which neither the deadline
        nor a caller that disconnects ends.
        """
        writer = asyncio.create_task(
            self._write_outcome(held_claim, state, outcome)
        )
        self._outcome_writers.add(writer)
        writer.add_done_callback(self._outcome_writers.discard)
        left_s = max(0, deadline - _now())
        await asyncio.wait((writer,), timeout=left_s)

    async def _write_outcome(
        self,
        held_claim: claim_store.HeldClaim,
        state: str,
        outcome: str,
    ) -> None:
        retry_until = _now() + _OUTCOME_RETRY_S
        stored = await self._claims.settle(
            held_claim, state, outcome, retry_until
        )
        if stored.is_err():
            journal.log(
                events.OUTCOME_NOT_KEPT,
                key=held_claim.claim.key,
                state=state,
                cause=str(stored.unwrap_err()),
            )


def unknown(key: str) -> outcome_unknown.OutcomeUnknown:
    """Return the error for command ``key``, which may have been executed."""
    return outcome_unknown.OutcomeUnknown(
        message=f'{key}: command sent, but no valid reply arrived in time',
        remedy=f'request GET /v1/commands/{key}; the command is not resent',
        retry_after_ms=_RETRY_MS,
    )


def _not_run_error(reason: str) -> not_run.NotRun:
    return not_run.NotRun(
        message=f'not run: {reason}',
        remedy='send the command again later, with a new key',
        retry_after_ms=_RETRY_MS,
    )


def _now() -> float:
    return asyncio.get_running_loop().time()
