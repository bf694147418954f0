"""Decides whether the head of an HTTP reply is valid.

Everything that reads replies asks here: connections of gateways to searchers,
other gateways and the store, and connections of nodes. Parsers accept more
than the protocol allows, and each of them something else.
"""

import dataclasses
import re
from collections.abc import Iterator, Sequence
from typing import Self

#: The first bytes of every reply.
PROTOCOL = b'HTTP/'
_VERSIONS = frozenset(('1.0', '1.1'))
_VERSION_WITHOUT_CHUNKS = '1.0'
_STATUSES = range(100, 600)  # noqa: WPS432
_INFORMATIONAL = range(100, 200)  # noqa: WPS432
_SWITCHING_PROTOCOLS = 101
_NO_CONTENT = 204
_NOT_MODIFIED = 304
_CHUNKED = (b'chunked',)
_STATUS_LINE = re.compile(rb'HTTP/(\d\.\d) (\d{3})(?: ([^\r\n]*))?\r\n')
_LENGTH = re.compile(rb'\d{1,18}')
_FIELD_LINE = re.compile(rb'([^:\r\n]*):[ \t]*([^\r\n]*?)[ \t]*\r\n')
#: Bytes of the names of fields (RFC 9110, section 5.6.2).
_TOKEN = re.compile(rb"[-!#$%&'*+.^_`|~0-9A-Za-z]*")
#: Bytes that values of fields and reason phrases must not have.
_CONTROL_BYTE = re.compile(rb'[\x00-\x08\x0a-\x1f\x7f]')


@dataclasses.dataclass(slots=True, frozen=True)
class ReplyHead:
    """The status line and the header fields of a reply."""

    #: The HTTP version, such as ``1.1``.
    version: str
    status: int
    #: Names and values, in the order in which they were received.
    fields: Sequence[tuple[bytes, bytes]]
    phrase: bytes = b''

    @classmethod
    def parse(cls, lines: Sequence[bytes]) -> Self | None:
        """Return the head of these lines, none if it is malformed.

        Each line ends with CR LF; the blank line at the end is left out.
        """
        status_line = _STATUS_LINE.fullmatch(lines[0]) if lines else None
        field_lines = list(map(_FIELD_LINE.fullmatch, lines[1:]))
        if status_line is None or None in field_lines:
            return None
        version, status, phrase = status_line.groups()
        fields = [(line[1], line[2]) for line in field_lines]
        return cls(version.decode(), int(status), fields, phrase or b'')

    @property
    def is_interim(self) -> bool:
        """Whether the final reply is still to come."""
        return is_interim(self.status)

    @property
    def has_no_body(self) -> bool:
        """Whether the status alone tells that no body follows."""
        return self.is_interim or self.status in {_NO_CONTENT, _NOT_MODIFIED}

    def find_fault(self) -> str:
        """Return why this is no valid head; empty if it is one."""
        return (
            self._status_line_fault()
            or self._field_fault()
            or self._length_fault()
            or self._coding_fault()
        )

    def values_of(self, lower_name: bytes) -> Iterator[bytes]:
        """Return the values of a field, by its name in lower case."""
        return (
            text for name, text in self.fields if name.lower() == lower_name
        )

    def _status_line_fault(self) -> str:
        if self.version not in _VERSIONS:
            return f'a reply of HTTP version {self.version}'
        if self.status not in _STATUSES:
            return f'a reply with status {self.status:03d}'
        if self.status == _SWITCHING_PROTOCOLS:
            return 'a switch of protocols that was not requested'
        if _CONTROL_BYTE.search(self.phrase):
            return 'a control byte in the reason phrase'
        return ''

    def _field_fault(self) -> str:
        # Joined, as a search for each field takes three times as long.
        names = [name for name, _ in self.fields]
        if not all(names) or not _TOKEN.fullmatch(b''.join(names)):
            return 'a field name with a byte that is not allowed in one'
        if _CONTROL_BYTE.search(b'\t'.join([text for _, text in self.fields])):
            return 'a control byte in a field value'
        return ''

    def _length_fault(self) -> str:
        lengths = list(map(bytes.strip, self.values_of(b'content-length')))
        is_definite = all(map(_LENGTH.fullmatch, lengths))
        if len(lengths) > 1 or not is_definite:
            return 'a reply without a definite length'
        if self._is_never_framed and any(map(int, lengths)):
            return 'the length of a body in a reply without one'
        if lengths and list(self.values_of(b'transfer-encoding')):
            return 'a reply with both a length and a transfer coding'
        return ''

    def _coding_fault(self) -> str:
        if list(self.values_of(b'content-encoding')):
            return 'a content encoding that was not requested'
        accepted = {()} if self._is_never_chunked else {(), _CHUNKED}
        if tuple(self._transfer_codings()) not in accepted:
            return 'a transfer coding that was not requested'
        return ''

    def _transfer_codings(self) -> Iterator[bytes]:
        for text in self.values_of(b'transfer-encoding'):
            for coding in text.split(b','):
                yield coding.strip().lower()

    @property
    def _is_never_chunked(self) -> bool:
        return self.version == _VERSION_WITHOUT_CHUNKS or self._is_never_framed

    @property
    def _is_never_framed(self) -> bool:
        return self.is_interim or self.status == _NO_CONTENT


def is_field_line(line: bytes) -> bool:
    """Tell whether a line that ends with CR LF is a field."""
    field = _FIELD_LINE.fullmatch(line)
    if field is None or not field[1]:
        return False
    name, text = field.groups()
    return bool(_TOKEN.fullmatch(name)) and not _CONTROL_BYTE.search(text)


def is_interim(status: int) -> bool:
    """Tell whether the final reply follows one with this status."""
    return status in _INFORMATIONAL


def find_fault_of_final(
    status: int, fields: Sequence[tuple[bytes, bytes]], body: bytes
) -> str:
    """Return why a reply that another process read is not valid.

    Empty if it is a valid final reply.
    """
    head = ReplyHead('1.1', status, fields)
    if head.is_interim:
        return 'an interim reply in place of a final one'
    if head.has_no_body and body:
        return 'a body in a reply without one'
    return head.find_fault()
