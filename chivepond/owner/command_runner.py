"""Runs a claimed non-idempotent request, at most once."""

import asyncio

import result

from chivepond.control import claim_store
from chivepond.errors import not_run, outcome_unknown, problem
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

_Answer = result.Result[command_answer.CommandAnswer, problem.Problem]


class CommandRunner:
    """Takes a slot, marks the claim dispatched, sends once, keeps the end."""

    __slots__ = ('_claims', '_owner')

    def __init__(
        self,
        owned: owner.Owner,
        claims: claim_store.ClaimStore,
    ) -> None:
        """Send through the queues of ``owned``."""
        self._owner = owned
        self._claims = claims

    async def run(self, command: owner_command.OwnerCommand) -> _Answer:
        """Run a command whose claim its entry holds."""
        deadline = _now() + command.remaining_ms / _MS_PER_S
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
        seen = await self._claims.read(command.key)
        if seen.is_err():
            return result.Err(_refused('the platform can not be reached'))
        held = seen.unwrap()
        if held.version != command.claim_version:
            return result.Err(_refused('its claim was taken away'))
        moved = await self._claims.advance(held, claim_store.DISPATCHED)
        if moved.is_err():
            return result.Err(_refused('its claim could not be dispatched'))
        return await self._send(command, queue, moved.unwrap(), deadline)

    async def _send(
        self,
        command: owner_command.OwnerCommand,
        queue: searcher_queue.SearcherQueue,
        held: claim_store.HeldClaim,
        deadline: float,
    ) -> _Answer:
        left_s = max(0, deadline - _now())
        told = await exchange.post(
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
            case result.Ok(searcher_result.SearcherResult(outcome='refused')):
                await self._claims.advance(held, claim_store.CANCELLED)
                return result.Err(_refused('its searcher refused it'))
            case result.Ok(ended):
                await self._claims.advance(
                    held,
                    claim_store.DONE,
                    ended.result,
                )
                return result.Ok(
                    command_answer.CommandAnswer(
                        key=command.key,
                        outcome='done',
                        result=ended.result,
                    ),
                )
        return result.Err(unknown(command.key))


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
