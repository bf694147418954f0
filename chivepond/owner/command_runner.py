"""Runs a claimed non-idempotent request, at most once."""

import asyncio
import types
from typing import Self

import result

from chivepond.control import claim_store
from chivepond.errors import not_run, outcome_unknown, problem
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

#: How long the platform is tried with an outcome, in seconds.
_KEEP_S = 30

_Answer = result.Result[command_answer.CommandAnswer, problem.Problem]


class CommandRunner:
    """Takes a slot, marks the claim dispatched, sends once, keeps the end."""

    __slots__ = ('_claims', '_keepers', '_owner', 'latest_deadline')

    def __init__(
        self,
        owned: owner.Owner,
        claims: claim_store.ClaimStore,
    ) -> None:
        """Send through the queues of ``owned``."""
        self._owner = owned
        self._claims = claims
        #: When the last of the commands so far is over, in the loop's time.
        self.latest_deadline = float(0)
        self._keepers: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Self:
        """Return the runner."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Wait until the outcomes in hand are kept, within their time."""
        if self._keepers:
            await asyncio.wait(self._keepers)

    async def run(self, command: owner_command.OwnerCommand) -> _Answer:
        """Run a command whose claim its entry holds."""
        deadline = _now() + command.remaining_ms / _MS_PER_S
        self.latest_deadline = max(self.latest_deadline, deadline)
        queue = self._owner.queue(command.searcher_id)
        if queue is None or queue.is_leaving:
            return result.Err(_refused('its searcher takes no new work'))
        async with queue.slot(deadline - _now()) as has_slot:
            if not has_slot:
                return result.Err(_refused('no slot came free in time'))
            return await self._dispatch(command, queue, deadline)

    async def _dispatch(
        self,
        command: owner_command.OwnerCommand,
        queue: searcher_queue.SearcherQueue,
        deadline: float,
    ) -> _Answer:
        """Send after the claim is `dispatched`, and never otherwise.

        Guards against an entry that gave up meanwhile and said "not run":
        it moved the claim to `cancelled`, so this conditional step fails and
        nothing is sent. If its reply is lost for good nothing is sent either.
        """
        moved = await self._mark(command, deadline)
        if moved.is_err():
            return moved
        if _now() >= deadline:
            await self._keep(moved.unwrap(), claim_store.CANCELLED, deadline)
            return result.Err(_refused('its time ran out'))
        return await self._send(command, queue, moved.unwrap(), deadline)

    async def _mark(
        self,
        command: owner_command.OwnerCommand,
        deadline: float,
    ) -> result.Result[claim_store.HeldClaim, problem.Problem]:
        """Move the claim that the entry holds to `dispatched`."""
        seen = await self._claims.read(command.key)
        if seen.is_err():
            return result.Err(_refused('the platform can not be reached'))
        held = seen.unwrap()
        if held.version != command.claim_version:
            return result.Err(_refused('its claim was taken away'))
        if _now() >= deadline:
            return result.Err(_refused('its time ran out'))
        moved = await self._claims.advance(held, claim_store.DISPATCHED)
        if moved.is_err():
            return result.Err(_refused('its claim could not be dispatched'))
        return moved

    async def _send(
        self,
        command: owner_command.OwnerCommand,
        queue: searcher_queue.SearcherQueue,
        held: claim_store.HeldClaim,
        deadline: float,
    ) -> _Answer:
        left_s = max(0, deadline - _now())
        told = await exchange.post_fresh(
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
        match told:
            case result.Ok(ended) if ended.key != command.key:
                return result.Err(unknown(command.key))
            case result.Ok(searcher_result.SearcherResult(outcome='refused')):
                await self._keep(held, claim_store.CANCELLED, deadline)
                return result.Err(_refused('its searcher refused it'))
            case result.Ok(searcher_result.SearcherResult(outcome='done')):
                outcome = told.unwrap().result
                await self._keep(held, claim_store.DONE, deadline, outcome)
                return result.Ok(
                    command_answer.CommandAnswer(
                        key=command.key,
                        outcome='done',
                        result=outcome,
                    ),
                )
        return result.Err(unknown(command.key))

    async def _keep(
        self,
        held: claim_store.HeldClaim,
        state: str,
        deadline: float,
        outcome: str = '',
    ) -> None:
        """Keep how a command ended, going on past the deadline.

        Guards against an answer that was given and then forgotten: it shows
        when the platform fails just then, and the repeat is told "unknown".
        The writer is a task of its own, so neither the deadline nor a
        caller that goes away ends it.
        """
        keeper = asyncio.create_task(self._write(held, state, outcome))
        self._keepers.add(keeper)
        keeper.add_done_callback(self._keepers.discard)
        left_s = max(0, deadline - _now())
        await asyncio.wait((keeper,), timeout=left_s)

    async def _write(
        self,
        held: claim_store.HeldClaim,
        state: str,
        outcome: str,
    ) -> None:
        until = _now() + _KEEP_S
        kept = await self._claims.settle(held, state, outcome, until)
        if kept.is_err():
            journal.log(
                events.OUTCOME_NOT_KEPT,
                key=held.claim.key,
                state=state,
                cause=str(kept.unwrap_err()),
            )


def unknown(key: str) -> outcome_unknown.OutcomeUnknown:
    """Return the error for a command that may have run."""
    return outcome_unknown.OutcomeUnknown(
        message=f'{key} was sent, and no reply came in time',
        remedy=f'ask GET /v1/commands/{key}; it will not be sent again',
        retry_after_ms=_RETRY_MS,
    )


def _refused(why: str) -> not_run.NotRun:
    return not_run.NotRun(
        message=f'not run: {why}',
        remedy='send it again later, under a new key',
        retry_after_ms=_RETRY_MS,
    )


def _now() -> float:
    return asyncio.get_running_loop().time()
