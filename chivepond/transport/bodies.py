"""Reads request bodies with a limit on size and on time."""

import asyncio

import result
from starlette import requests

from chivepond.errors import invalid, problem, too_large

#: Time within which a body must arrive whole, in seconds.
ARRIVAL_S = 5

#: Maximum body size of a request from a caller, in bytes.
MAX_CALLER_BYTES = 65536

#: Maximum body size between processes of the system, in bytes.
MAX_PEER_BYTES = 4194304


async def read(
    request: requests.Request,
    max_bytes: int,
) -> result.Result[bytes, problem.Problem]:
    """Return the body of a request, which must be UTF-8.

    Returns ``TooLarge`` for more than ``max_bytes`` bytes, and ``Invalid``
    for a body that does not arrive within ``ARRIVAL_S`` seconds or is not
    UTF-8. Without these limits a client that sends without end would use
    unbounded memory, and one that stops in the middle would keep its request
    open indefinitely.
    """
    chunks = bytearray()
    try:
        async with asyncio.timeout(ARRIVAL_S):
            async for chunk in request.stream():
                chunks += chunk
                if len(chunks) > max_bytes:
                    return result.Err(_too_large(max_bytes))
    except TimeoutError:
        return result.Err(_timed_out())
    except requests.ClientDisconnect:
        return result.Err(_timed_out())
    return _check_utf8(bytes(chunks))


def _check_utf8(body: bytes) -> result.Result[bytes, problem.Problem]:
    """Return the body, or an error if it is not UTF-8, as JSON requires.

    The decoder does not check fields that it passes on as raw JSON; invalid
    bytes there would raise an exception where the fields are read later.
    """
    try:
        body.decode()
    except UnicodeDecodeError as error:
        return result.Err(
            invalid.Invalid(
                message=f'the body is not valid UTF-8 at byte {error.start}',
                remedy='send JSON in UTF-8',
            ),
        )
    return result.Ok(body)


def _too_large(max_bytes: int) -> too_large.TooLarge:
    return too_large.TooLarge(
        message=f'the body is larger than {max_bytes} bytes',
        remedy='send a smaller body',
    )


def _timed_out() -> invalid.Invalid:
    return invalid.Invalid(
        message=f'the body did not arrive within {ARRIVAL_S} s',
        remedy='send the whole body without pauses',
    )
