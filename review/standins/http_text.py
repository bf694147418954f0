"""Reads and writes HTTP/1.1 messages for the stand-ins."""

import asyncio
import dataclasses

_PHRASES = {
    200: 'OK',
    404: 'Not Found',
    409: 'Conflict',
    421: 'Misdirected Request',
    500: 'Internal Server Error',
    503: 'Service Unavailable',
    504: 'Gateway Timeout',
}


@dataclasses.dataclass
class Request:
    """A whole request; names of header fields are in lower case."""

    method: str
    target: str
    headers: dict
    body: bytes


async def read_request(reader):
    """Return the next request, or ``None`` at the end of the connection."""
    head = await _read_head(reader)
    if head is None:
        return None
    first, headers = head
    method, target, _ = first.split(' ', 2)
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return Request(method, target, headers, body)


async def read_response(reader):
    """Return status, header fields and body; ``None`` if it isn't whole."""
    try:
        head = await _read_head(reader)
        if head is None:
            return None
        first, headers = head
        body = await reader.readexactly(int(headers.get('content-length', 0)))
    except (OSError, asyncio.IncompleteReadError):
        return None
    return int(first.split(' ')[1]), headers, body


async def _read_head(reader):
    try:
        text = await reader.readuntil(b'\r\n\r\n')
    except (OSError, asyncio.IncompleteReadError):
        return None
    lines = text.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, found, field_value = line.partition(':')
        if found:
            headers.setdefault(name.strip().lower(), field_value.strip())
    return lines[0], headers


def response(status, headers, body=b''):
    """Return the bytes of a response with a length."""
    lines = [f'HTTP/1.1 {status} {_PHRASES.get(status, "Other")}']
    lines.extend(f'{name}: {text}' for name, text in headers.items())
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body
