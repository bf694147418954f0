"""Clients that send as much as they can and never read a response."""

import asyncio
import contextlib
import dataclasses
import pathlib
import socket
from collections.abc import Iterator

_RECEIVE_BUFFER_BYTES = 4096
_BLOCK_BYTES = 65536
_POLL_S = 0.05


@dataclasses.dataclass(slots=True, frozen=True)
class Sent:
    """What each client sends: ``start``, then ``repeated`` without an end."""

    start: bytes
    repeated: bytes = b''

    def blocks(self) -> Iterator[bytes]:
        """Yield the bytes in blocks."""
        yield self.start
        block = self.repeated
        if block:
            block *= _BLOCK_BYTES // len(block) + 1
        while block:
            yield block


def head(method: str, path: str, *fields: str) -> bytes:
    """Return the head of a request with no fields but Host and ``fields``."""
    lines = (f'{method} {path} HTTP/1.1', 'Host: desk.example', *fields)
    return '\r\n'.join((*lines, '', '')).encode()


def ahead(method: str, path: str) -> Sent:
    """Send requests without a body one after another."""
    return Sent(b'', head(method, path))


def bodies_ahead(path: str, size: int) -> Sent:
    """Send requests with a body of ``size`` bytes one after another."""
    body_head = head('POST', path, f'Content-Length: {size}')
    return Sent(b'', body_head + bytes(size))


def unfinished(path: str, size: int) -> Sent:
    """State a length of ``size``, and send 44 bytes less."""
    body_head = head('POST', path, f'Content-Length: {size}')
    return Sent(body_head + bytes(size - 44))


def unfinished_chunks(path: str, size: int, chunk_bytes: int) -> Sent:
    """Send ``size`` bytes in chunks, without the chunk that ends them."""
    body_head = head('POST', path, 'Transfer-Encoding: chunked')
    chunk = b'%x\r\n%s\r\n' % (chunk_bytes, bytes(chunk_bytes))
    return Sent(body_head + chunk * (size // chunk_bytes))


@contextlib.asynccontextmanager
async def connected(remote: tuple[str, int], size: int, sent: Sent):
    """Connect ``size`` clients; they stay open until the context is left."""
    clients = [asyncio.create_task(_send(remote, sent)) for _ in range(size)]
    try:
        yield
    finally:
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)


async def _send(remote: tuple[str, int], sent: Sent) -> None:
    loop = asyncio.get_running_loop()
    with socket.socket() as connection, contextlib.suppress(OSError):
        connection.setblocking(False)
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        await loop.sock_connect(connection, remote)
        for block in sent.blocks():
            await loop.sock_sendall(connection, block)
            # A send that does not block lets no other client run.
            await asyncio.sleep(0)
        await asyncio.Event().wait()


async def peak_descriptors(pid: int, play_s: float) -> int:
    """Return the most descriptors that a process had open in ``play_s``."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + play_s
    folder = pathlib.Path(f'/proc/{pid}/fd')
    peak = 0
    while folder.exists() and loop.time() < ends_at:
        with contextlib.suppress(FileNotFoundError):
            peak = max(peak, len(list(folder.iterdir())))
        await asyncio.sleep(_POLL_S)
    return peak


def peak_mb(pid: int) -> float:
    """Return the largest resident memory of a process so far, in MB."""
    return _memory_mb(pid, 'VmHWM:')


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process now, in MB."""
    return _memory_mb(pid, 'VmRSS:')


def _memory_mb(pid: int, name: str) -> float:
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    return int(status.partition(name)[2].split()[0]) / 1024
