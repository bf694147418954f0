"""Replies that are complete but for one fault, for tests."""

import types

from chivepond.platform import headers

_OK = b'HTTP/1.1 200 OK'
#: The body of every invalid reply; no client may get it.
WRONG = b'wrong'
_WRONG_IN_CHUNKS = b'5\r\nwrong\r\n0\r\n\r\n'

#: A status line and a field, or the field that ends in the head's blank line,
#: by what is wrong with them.
FAULTS = types.MappingProxyType(
    {
        'status 000': (b'HTTP/1.1 000 None', b''),
        'status 001': (b'HTTP/1.1 001 None', b''),
        'status 099': (b'HTTP/1.1 099 None', b''),
        'status 600': (b'HTTP/1.1 600 None', b''),
        'status 999': (b'HTTP/1.1 999 None', b''),
        'status of two digits': (b'HTTP/1.1 20 OK', b''),
        'status of four digits': (b'HTTP/1.1 2000 OK', b''),
        'no status': (b'HTTP/1.1', b''),
        'version 2.0': (b'HTTP/2.0 200 OK', b''),
        'version 0.9': (b'HTTP/0.9 200 OK', b''),
        'another protocol': (b'RTSP/1.0 200 OK', b''),
        'switch of protocols': (b'HTTP/1.1 101 Switching Protocols', b''),
        'control byte in the phrase': (b'HTTP/1.1 200 O\x00K', b''),
        'blank in a name': (_OK, b'X Odd: 1\r\n'),
        'tab in a name': (_OK, b'X\tOdd: 1\r\n'),
        'NUL in a name': (_OK, b'X\x00Odd: 1\r\n'),
        'DEL in a name': (_OK, b'X\x7fOdd: 1\r\n'),
        'blank before the colon': (_OK, b'X-Odd : 1\r\n'),
        'tab before the colon': (_OK, b'X-Odd\t: 1\r\n'),
        'blank before the colon of a length': (_OK, b'Content-Length : 2\r\n'),
        'blank before a name': (_OK, b' X-Odd: 1\r\n'),
        'empty name': (_OK, b': 1\r\n'),
        'no colon': (_OK, b'X-Odd\r\n'),
        'NUL in a value': (_OK, b'X-Odd: a\x00b\r\n'),
        'carriage return in a value': (_OK, b'X-Odd: a\rX-More: b\r\n'),
        'two lengths': (_OK, b'Content-Length: 3\r\n'),
        'negative length': (_OK, b'Content-Length: -5\r\n'),
        'length beside chunks': (_OK, b'Transfer-Encoding: chunked\r\n'),
        'transfer coding': (
            _OK,
            b'Transfer-Encoding: gzip, chunked\r\n\r\n' + _WRONG_IN_CHUNKS,
        ),
        'chunks in version 1.0': (
            b'HTTP/1.0 200 OK',
            b'Transfer-Encoding: chunked\r\n\r\n' + _WRONG_IN_CHUNKS,
        ),
        'blank in the name of a trailer': (
            _OK,
            b'Transfer-Encoding: chunked\r\n\r\n%s'
            % _WRONG_IN_CHUNKS.replace(b'0', b'0\r\nX Y: 1'),
        ),
        'content encoding': (_OK, b'Content-Encoding: gzip\r\n'),
        'interim status line of another version': (
            b'HTTP/2.0 103 Early Hints\r\n\r\nHTTP/1.1 200 OK',
            b'',
        ),
    }
)


def encode(fault: str, request_id: bytes) -> bytes:
    """Return a reply that is complete but for the fault."""
    status_line, field = FAULTS[fault]
    head = b'%s\r\n%s: %s\r\n%s: sig\r\n%s' % (
        status_line,
        headers.REQUEST_ID,
        request_id,
        headers.SIGNATURE,
        field,
    )
    if b'\r\n\r\n' in field:
        return head
    return b'%sContent-Length: %d\r\n\r\n%s' % (head, len(WRONG), WRONG)
