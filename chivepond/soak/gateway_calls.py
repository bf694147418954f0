"""Routes of the gateway soak, and the requests that its callers send."""

import asyncio
import types
from typing import Any

from chivepond.gateway import http_connection, outcome
from chivepond.platform import documents, headers
from chivepond.soak import gateway_checks, gateway_process

_HOST = 'desk.example'
SHARD_SETS = (('a1', 'a2', 'a3', 'a4', 'a5'), ('b1', 'b2', 'b3', 'b4'))
#: Target latency of a gathered answer, in milliseconds.
_LATENCY_TARGET_MS = 200
_PATH_BY_KIND = types.MappingProxyType(
    {
        'search': '/search/',
        'stamp': '/stamp/',
        'read': '/read/',
        'wait': '/wait/',
    },
)
_TIMEOUT_MS = 1500
#: Deadline of requests that wait for a service with too few searchers.
_WAIT_TIMEOUT_MS = 8000
_GRACE_S = 2.5


def route(name: str, **overrides: Any) -> dict[str, Any]:
    """Return a route in the form of the configuration, with ``overrides``."""
    prefix = _PATH_BY_KIND.get(name, f'/{name}/')
    return documents.route(
        name, _HOST, prefix, timeout_ms=_timeout_ms(name), **overrides
    )


def _timeout_ms(kind: str) -> int:
    return _WAIT_TIMEOUT_MS if kind == 'wait' else _TIMEOUT_MS


def gather_options(shards: tuple[str, ...]) -> dict[str, Any]:
    """Return the route options that gather answers from all ``shards``."""
    return documents.gathered(
        list(shards),
        gateway_checks.TOP_COUNT,
        gateway_checks.MIN_COVERAGE,
        _LATENCY_TARGET_MS,
    )


def answering_shards(reply: outcome.Reply) -> tuple[str, ...] | None:
    """Return the shard set that a reply is signed by, or None.

    Only the shard of the first part signature is looked up.
    """
    signatures = reply.headers.get(headers.PART_SIGNATURES) or b''
    first_shard = signatures.partition(b'.')[0].decode()
    return next(
        (shards for shards in SHARD_SETS if first_shard in shards), None
    )


async def connect(
    process: gateway_process.GatewayProcess,
) -> http_connection.HttpConnection | None:
    """Connect to a gateway as a caller; return None when that fails.

    Gives up after one second.
    """
    connection = http_connection.HttpConnection(
        headers.REQUEST_ID,
        lambda closed: None,
    )
    try:
        async with asyncio.timeout(1):
            await asyncio.get_running_loop().create_connection(
                lambda: connection,
                *process.callers,
            )
    except OSError:
        return None
    return connection


async def send_request(
    connection: http_connection.HttpConnection,
    kind: str,
    request_id: bytes,
) -> outcome.Outcome:
    """Send a request of a kind, and return its outcome.

    Aborts the connection when no reply arrives 2.5 seconds after its deadline.
    """
    timeout_ms = _timeout_ms(kind)
    method = 'POST' if kind == 'stamp' else 'GET'
    raw = (
        f'{method} {_PATH_BY_KIND[kind]}x HTTP/1.1\r\nHost: {_HOST}\r\n'
        f'{headers.REQUEST_ID.decode()}: {request_id.decode()}\r\n'
        f'{headers.TIME_LEFT_MS.decode()}: {timeout_ms}\r\n'
        'Content-Length: 0\r\n\r\n'
    )
    try:
        async with asyncio.timeout(timeout_ms / 1000 + _GRACE_S):
            return await connection.begin(raw.encode(), request_id)
    except TimeoutError:
        connection.abort()
        return outcome.NotSent('the caller timed out')


async def is_ready(process: gateway_process.GatewayProcess) -> bool:
    """Tell whether the readiness endpoint of a gateway returns 200."""
    try:
        async with asyncio.timeout(1):
            reader, writer = await asyncio.open_connection(*process.readiness)
            writer.write(b'GET /ready HTTP/1.1\r\nHost: x\r\n\r\n')
            line = await reader.readline()
            writer.close()
    except OSError:
        return False
    return b' 200 ' in line
