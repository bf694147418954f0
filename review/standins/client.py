"""A stand-in for clients: one request on one connection."""

import asyncio
import dataclasses

import http_text


@dataclasses.dataclass
class Attempt:
    """One client attempt, with loop times in seconds."""

    request_id: str
    sent_at: float
    deadline_ms: int
    ended_at: float = 0
    #: Zero where the connection ended without a complete answer.
    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b''
    is_refused_connection: bool = False


async def send(
    gateway, host, path, request_id, deadline_ms, note, method='GET', body=b''
):
    """Send a request on a new connection; wait for its answer or its end."""
    loop = asyncio.get_running_loop()
    attempt = Attempt(request_id, loop.time(), deadline_ms)
    try:
        reader, writer = await asyncio.open_connection(
            gateway.ip, gateway.front
        )
    except OSError:
        attempt.is_refused_connection = True
        attempt.ended_at = loop.time()
        return attempt
    writer.write(
        f'{method} {path} HTTP/1.1\r\nHost: {host}\r\n'
        f'X-Request-Id: {request_id}\r\nX-Deadline-Ms: {deadline_ms}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'.encode()
        + body
    )
    attempt.sent_at = loop.time()
    note(f'client sends {request_id} to {gateway.name}')
    try:
        answer = await asyncio.wait_for(
            http_text.read_response(reader), deadline_ms / 1000 + 1
        )
        if answer is not None:
            attempt.status, attempt.headers, attempt.body = answer
        outcome = attempt.status or 'a closed connection, no answer'
    except asyncio.TimeoutError:
        outcome = 'nothing until its deadline'
        attempt.status = -1
    attempt.ended_at = loop.time()
    note(f'client gets {outcome} for {request_id}')
    writer.close()
    return attempt
