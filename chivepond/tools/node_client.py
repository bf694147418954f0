"""Sends single requests to a node over a new connection."""

from typing import Any, TypeVar

import result

from chivepond.errors import problem
from chivepond.tools import program_flags
from chivepond.transport import address, client, exchange
from chivepond.wire import codec

Kind = TypeVar('Kind')

_TIMEOUT_S = 10


async def post(
    message_type: type[Kind],
    target: str,
    path: str,
    message: Any,
    headers: dict[str, str] | None = None,
) -> result.Result[Kind, problem.Problem]:
    """POST a message to ``target`` (``ip:port``); decode the reply.

    Times out after 10 seconds. Returns the problem when the address is
    invalid, the node is unreachable or it responds with an error.
    """
    parsed = address.parse(target)
    if parsed.is_err():
        return parsed
    async with client.Client(parsed.unwrap(), 1) as node:
        response = await node.post(
            path,
            codec.encode(message),
            _TIMEOUT_S,
            headers,
        )
        return response.and_then(
            lambda received: exchange.read(message_type, received)
        )


async def get(
    message_type: type[Kind],
    target: str,
    path: str,
    headers: dict[str, str] | None = None,
) -> result.Result[Kind, problem.Problem]:
    """GET ``path`` from ``target`` (``ip:port``); decode the reply.

    Times out after 10 seconds; returns the same problems as ``post``.
    """
    parsed = address.parse(target)
    if parsed.is_err():
        return parsed
    async with client.Client(parsed.unwrap(), 1) as node:
        response = await node.get(path, _TIMEOUT_S, headers)
        return response.and_then(
            lambda received: exchange.read(message_type, received)
        )


def token_headers(program: program_flags.ProgramFlags) -> dict[str, str]:
    """Return the authorization header, or none when no token is set."""
    if not program.token:
        return {}
    return {'authorization': f'Bearer {program.token}'}
