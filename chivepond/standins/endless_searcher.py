"""A searcher that answers each request with bytes that never end.

``python -m chivepond.standins.endless_searcher PART MEGABYTES_A_SECOND`` runs
one on a free port of 127.0.0.1, and prints its address. ``PART`` names the part
of the reply that does not end. The bytes go on until the other side closes.
"""

import asyncio
import contextlib
import enum
import sys

from chivepond.platform import headers

_OK = b'HTTP/1.1 200 OK\r\n'
_HEAD_END = b'\r\n\r\n'
_BLOCK_BYTES = 65536
_BYTES_PER_MB = 1048576
_MAX_REPLY_S = 60.0


class ReplyPart(enum.StrEnum):
    """The part of a reply that does not end."""

    INTERIM = 'interim'
    STATUS_LINE = 'status-line'
    FIELD = 'field'
    FIELDS = 'fields'
    CHUNK_EXTENSION = 'chunk-extension'
    SMALL_CHUNKS = 'small-chunks'
    TRAILER = 'trailer'
    OTHER_REPLIES = 'other-replies'
    BODY_WITH_LENGTH = 'body-with-length'
    BODY_WITHOUT_LENGTH = 'body-without-length'


class EndlessSearcher:
    """Answers each connection's first request."""

    __slots__ = ('_block_s', '_part')

    def __init__(self, part: ReplyPart, megabytes_a_second: float) -> None:
        """Repeat ``part`` at this rate on each connection."""
        self._part = part
        self._block_s = _BLOCK_BYTES / (megabytes_a_second * _BYTES_PER_MB)

    async def run(self) -> None:
        """Serve until the process is killed."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        ip, port = server.sockets[0].getsockname()[:2]
        sys.stdout.write(f'{ip}:{port}\n')
        sys.stdout.flush()
        await server.serve_forever()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            request = await reader.readuntil(_HEAD_END)
            start, repeated = reply_bytes(self._part, _request_id(request))
            writer.write(start)
            block = repeated * (_BLOCK_BYTES // len(repeated))
            for _ in range(int(_MAX_REPLY_S / self._block_s)):
                writer.write(block)
                await writer.drain()
                await asyncio.sleep(self._block_s)
        writer.close()


def _request_id(request: bytes) -> bytes:
    for line in request.split(b'\r\n'):
        name, _, text = line.partition(b':')
        if name.lower() == headers.REQUEST_ID:
            return text.strip()
    return b''


def reply_bytes(part: ReplyPart, request_id: bytes) -> tuple[bytes, bytes]:
    """Return the start of the reply, and what is repeated without end."""
    own_id = b'%s: %s\r\n' % (headers.REQUEST_ID, request_id)
    other_id = b'%s: other\r\n' % headers.REQUEST_ID
    success = b'%s%s%s: endless\r\n' % (_OK, own_id, headers.SIGNATURE)
    chunked = b'%sTransfer-Encoding: chunked\r\n\r\n' % success
    with_length = b'%sContent-Length: 9000000000\r\n\r\n' % success
    other_reply = b'%s%sContent-Length: 1\r\n\r\nx' % (_OK, other_id)
    return {
        ReplyPart.INTERIM: (b'', b'HTTP/1.1 102 Processing\r\n\r\n'),
        ReplyPart.STATUS_LINE: (b'HTTP/1.1 200 ', b'endless '),
        ReplyPart.FIELD: (b'%sX-Endless: ' % success, b'endless '),
        ReplyPart.FIELDS: (success, b'X-Endless: 1\r\n'),
        ReplyPart.CHUNK_EXTENSION: (b'%s5;' % chunked, b'endless'),
        ReplyPart.SMALL_CHUNKS: (chunked, b'1\r\nx\r\n'),
        ReplyPart.TRAILER: (b'%s0\r\n' % chunked, b'X-Endless: 1\r\n'),
        ReplyPart.OTHER_REPLIES: (b'', other_reply),
        ReplyPart.BODY_WITH_LENGTH: (with_length, b'endless '),
        ReplyPart.BODY_WITHOUT_LENGTH: (b'%s\r\n' % success, b'endless '),
    }[part]


def _main() -> None:
    part, megabytes_a_second = sys.argv[1:]
    searcher = EndlessSearcher(ReplyPart(part), float(megabytes_a_second))
    asyncio.run(searcher.run())


if __name__ == '__main__':
    _main()
