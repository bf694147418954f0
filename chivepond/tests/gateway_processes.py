"""Gateways that run as processes beside the stand-ins of a bench."""

import asyncio
import contextlib
import pathlib
import re
from collections.abc import AsyncIterator, Mapping

from chivepond.soak import gateway_process, loopback_subnet
from chivepond.tests import gateway_bench

_FIRST_SUBNET = 100
_START_TIMEOUT_S = 20
_POLL_S = 0.05


@contextlib.asynccontextmanager
async def started(
    bench: gateway_bench.Bench,
    folder: pathlib.Path,
    count: int,
    overrides: Mapping[str, object],
) -> AsyncIterator[list[gateway_process.GatewayProcess]]:
    """Start gateways that read the store of ``bench``; wait for readiness."""
    store = str(bench.store.address)
    async with starting(store, folder, count, overrides) as processes:
        for process in processes:
            await until_ready(process)
        yield processes


@contextlib.asynccontextmanager
async def starting(
    store: str,
    folder: pathlib.Path,
    count: int,
    overrides: Mapping[str, object],
) -> AsyncIterator[list[gateway_process.GatewayProcess]]:
    """Start gateways that read the store at the address ``store``."""
    async with contextlib.AsyncExitStack() as stack:
        subnet = stack.enter_context(
            loopback_subnet.LoopbackSubnet(
                _FIRST_SUBNET, count, gateway_process.PORTS
            )
        )
        processes = [
            gateway_process.GatewayProcess(
                f'gate-{number}',
                subnet.ip(number),
                store,
                folder,
                'base',
                {'entry_settle_s': 0} | dict(overrides),
            )
            for number in range(1, count + 1)
        ]
        for process in processes:
            await stack.enter_async_context(process)
        yield processes


async def until_ready(process: gateway_process.GatewayProcess) -> None:
    """Wait until a gateway is ready to serve clients."""
    raw = b'GET /api/ready HTTP/1.1\r\nHost: test\r\n\r\n'
    async with asyncio.timeout(_START_TIMEOUT_S):
        while await exchange(process.readiness, raw) != 200:
            await asyncio.sleep(_POLL_S)


async def exchange(remote: tuple[str, int], raw: bytes) -> int:
    """Send a request on a new connection; return the status of the reply.

    Returns 0 if the connection ends without a whole reply.
    """
    try:
        reader, writer = await asyncio.open_connection(*remote)
    except OSError:
        return 0
    try:
        return await status_of(reader, writer, raw)
    finally:
        writer.close()


async def status_of(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, raw: bytes
) -> int:
    """Send a request on a connection; return the status of the reply.

    Returns 0 if the connection ends without a whole reply.
    """
    try:
        return await _read_status(reader, writer, raw)
    except (OSError, asyncio.IncompleteReadError):
        return 0


async def _read_status(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, raw: bytes
) -> int:
    writer.write(raw)
    head = await reader.readuntil(b'\r\n\r\n')
    length = re.search(rb'\r\nContent-Length: (\d+)\r\n', head)
    await reader.readexactly(int(length[1]))
    return int(head.split(b' ')[1])
