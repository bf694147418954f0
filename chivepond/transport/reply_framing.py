"""Checks the parts of one reply as a node reads them."""

import re

from chivepond.transport import reply_head

#: The largest reply that a node reads, in bytes: a quarter of the memory that a
#: node has for control.
_MAX_REPLY_BYTES = 16777216
_MAX_HEAD_BYTES = 65536
#: Bytes that frame the chunks of a body and may exceed the body itself.
_MAX_FRAMING_BYTES = 131072
#: Chunks that may be smaller than ``_MIN_CHUNK_BYTES`` on average.
_MAX_SMALL_CHUNKS = 4096
_MIN_CHUNK_BYTES = 64
_LONG_BODY = 'a reply larger than is read'
_HEXADECIMAL = 16
_LINE_END = b'\r\n'
_CHUNK_SIZE_LINE = re.compile(rb'([0-9a-fA-F]{1,8})\r\n')


class ReplyFraming:
    """Tells from each line and each size why a reply can't be read.

    Guards against what the HTTP library accepts: replies outside the protocol,
    replies without end, and replies after which it reads the next reply from
    the wrong byte. Each method returns the fault, or an empty text.
    """

    __slots__ = (
        '_body_bytes',
        '_chunks',
        '_framing_bytes',
        '_head_lines',
        '_is_reading_head',
        '_reads_chunks',
        'is_in_trailer',
    )

    def __init__(self) -> None:
        """Expect the status line of a reply."""
        self._head_lines: list[bytes] = []
        self._is_reading_head = True
        self._reads_chunks = False
        self._framing_bytes = 0
        self._body_bytes = 0
        self._chunks = 0
        #: Whether only lines of the trailer follow.
        self.is_in_trailer = False

    def add_line(self, line: bytes) -> str:
        """Check a line of the head, or one that frames chunks."""
        self._framing_bytes += len(line)
        if not line.endswith(_LINE_END):
            return 'a reply that ended early'
        if self._is_reading_head:
            return self._add_head_line(line)
        if self._framing_bytes > _MAX_FRAMING_BYTES + self._body_bytes:
            return 'a reply with more framing than is accepted'
        if not self.is_in_trailer:
            return self._add_chunk_size(line)
        is_valid = line == _LINE_END or reply_head.is_field_line(line)
        return '' if is_valid else 'a trailer that is no field'

    def expect_body(self, size: int) -> str:
        """Check the size of the next part of a body before it is read."""
        self._body_bytes += size
        if self._body_bytes > _MAX_REPLY_BYTES:
            return _LONG_BODY
        return ''

    def add_body(self, part: bytes) -> str:
        """Check a part of a body; each chunk is read with its line end."""
        if self._reads_chunks and not part.endswith(_LINE_END):
            return 'a chunk longer than its size'
        return ''

    def _add_head_line(self, line: bytes) -> str:
        if self._framing_bytes > _MAX_HEAD_BYTES:
            return 'a reply with a longer head than is read'
        if line != _LINE_END:
            # The library takes a line without a colon for the end of the head.
            is_field = not self._head_lines or b':' in line
            self._head_lines.append(line)
            return '' if is_field else 'a header field without a colon'
        self._is_reading_head = False
        self._framing_bytes = 0
        head = reply_head.ReplyHead.parse(self._head_lines)
        if head is None:
            return 'bytes that are no reply'
        return head.find_fault() or self._start_body(head)

    def _start_body(self, head: reply_head.ReplyHead) -> str:
        """Check that the library reads the body of this head to its end."""
        if head.is_interim:
            return 'an interim reply that was not requested'
        self._reads_chunks = any(head.values_of(b'transfer-encoding'))
        length = next(head.values_of(b'content-length'), None)
        if length and int(length) > _MAX_REPLY_BYTES:
            return _LONG_BODY
        if self._reads_chunks or length or head.has_no_body:
            return ''
        return 'a reply that does not state its length'

    def _add_chunk_size(self, line: bytes) -> str:
        chunk_size = _CHUNK_SIZE_LINE.fullmatch(line)
        if chunk_size is None:
            return 'a chunk without a size'
        self.is_in_trailer = not int(chunk_size[1], base=_HEXADECIMAL)
        self._chunks += 1
        if self._chunks > (
            _MAX_SMALL_CHUNKS + self._body_bytes // _MIN_CHUNK_BYTES
        ):
            return 'a reply in too many small chunks'
        return ''
