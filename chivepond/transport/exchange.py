"""Typed requests: sends a message and decodes the reply or error."""

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
    problem_type.kind: problem_type
    for problem_type in (
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
    message_type: type[Kind],
    http_client: client.Client,
    path: str,
    message: Any,
    timeout_s: float,
) -> result.Result[Kind, problem.Problem]:
    """POST a message and return the decoded reply or error."""
    response = await http_client.post(path, codec.encode(message), timeout_s)
    return response.and_then(
        lambda whole_reply: read(message_type, whole_reply)
    )


async def post_fresh(
    message_type: type[Kind],
    http_client: client.Client,
    path: str,
    message: Any,
    timeout_s: float,
) -> result.Result[Kind, problem.Problem]:
    """POST a message on a new connection; return the decoded reply."""
    response = await http_client.post_fresh(
        path, codec.encode(message), timeout_s
    )
    return response.and_then(
        lambda whole_reply: read(message_type, whole_reply)
    )


async def get(
    message_type: type[Kind],
    http_client: client.Client,
    path: str,
    timeout_s: float,
) -> result.Result[Kind, problem.Problem]:
    """GET a message and return it decoded."""
    response = await http_client.get(path, timeout_s)
    return response.and_then(
        lambda whole_reply: read(message_type, whole_reply)
    )


def read(
    message_type: type[Kind],
    response: reply.Reply,
) -> result.Result[Kind, problem.Problem]:
    """Decode a reply: the message on status 200, else its error.

    A reply without a readable error body yields ``Unreachable``.
    """
    if response.status == _OK:
        return codec.decode(message_type, response.body)
    match codec.decode(error_reply.ErrorReply, response.body):
        case result.Ok(decoded):
            return result.Err(_to_problem(decoded))
        case _:
            return result.Err(
                unreachable.Unreachable(
                    message=f'status {response.status} without an error body',
                    remedy='check the logs of the process that replied',
                ),
            )


def _to_problem(decoded: error_reply.ErrorReply) -> problem.Problem:
    problem_type = _problem_by_kind.get(decoded.error.kind, problem.Problem)
    return problem_type(
        message=decoded.error.message,
        remedy=decoded.error.remedy,
        retry_after_ms=decoded.error.retry_after_ms,
    )
