"""Typed exchanges: a message out, a message or an error back."""

from typing import Any, TypeVar

import result

from chivepond.errors import (
    conflict,
    invalid,
    key_expired,
    not_found,
    not_run,
    outcome_unknown,
    problem,
    shed,
    too_large,
    unauthorised,
    unreachable,
)
from chivepond.transport import client, reply
from chivepond.wire import codec, error_reply

Kind = TypeVar('Kind')

_OK = 200

_problem_by_kind: dict[str, type[problem.Problem]] = {
    known.kind: known
    for known in (
        conflict.Conflict,
        invalid.Invalid,
        key_expired.KeyExpired,
        not_found.NotFound,
        not_run.NotRun,
        outcome_unknown.OutcomeUnknown,
        shed.Shed,
        too_large.TooLarge,
        unauthorised.Unauthorised,
        unreachable.Unreachable,
    )
}


async def post(
    kind: type[Kind],
    to: client.Client,
    path: str,
    message: Any,
    timeout_s: float,
) -> result.Result[Kind, problem.Problem]:
    """Send a message and return the typed answer."""
    answer = await to.post(path, codec.encode(message), timeout_s)
    return answer.and_then(lambda got: read(kind, got))


async def post_fresh(
    kind: type[Kind],
    to: client.Client,
    path: str,
    message: Any,
    timeout_s: float,
) -> result.Result[Kind, problem.Problem]:
    """Send a message on a connection of its own; return the typed answer."""
    answer = await to.post_fresh(path, codec.encode(message), timeout_s)
    return answer.and_then(lambda got: read(kind, got))


async def get(
    kind: type[Kind],
    to: client.Client,
    path: str,
    timeout_s: float,
) -> result.Result[Kind, problem.Problem]:
    """Ask for a message and return it typed."""
    answer = await to.get(path, timeout_s)
    return answer.and_then(lambda got: read(kind, got))


def read(
    kind: type[Kind],
    answer: reply.Reply,
) -> result.Result[Kind, problem.Problem]:
    """Return the message in a reply, or the error that it tells of."""
    if answer.status == _OK:
        return codec.decode(kind, answer.body)
    match codec.decode(error_reply.ErrorReply, answer.body):
        case result.Ok(told):
            return result.Err(_problem(told))
        case _:
            return result.Err(
                unreachable.Unreachable(
                    message=f'a reply with status {answer.status} and no error',
                    remedy='see the logs of the process that replied',
                ),
            )


def _problem(told: error_reply.ErrorReply) -> problem.Problem:
    kind = _problem_by_kind.get(told.error.kind, problem.Problem)
    return kind(
        message=told.error.message,
        remedy=told.error.remedy,
        retry_after_ms=told.error.retry_after_ms,
    )
