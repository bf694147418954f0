"""One exchange with a node, for the programs."""

from typing import Any, TypeVar

import result

from chivepond.errors import problem
from chivepond.transport import address, client, exchange

Kind = TypeVar('Kind')

_TIMEOUT_S = 10


async def post(
    kind: type[Kind],
    target: str,
    path: str,
    message: Any,
) -> result.Result[Kind, problem.Problem]:
    """Send a message to ``target`` and return the typed answer."""
    parsed = address.parse(target)
    if parsed.is_err():
        return parsed
    async with client.Client(parsed.unwrap(), 1) as to:
        return await exchange.post(kind, to, path, message, _TIMEOUT_S)


async def get(
    kind: type[Kind],
    target: str,
    path: str,
) -> result.Result[Kind, problem.Problem]:
    """Ask ``target`` for a message and return it typed."""
    parsed = address.parse(target)
    if parsed.is_err():
        return parsed
    async with client.Client(parsed.unwrap(), 1) as to:
        return await exchange.get(kind, to, path, _TIMEOUT_S)
