"""The first bytes of a reply, which name the protocol."""

from chivepond.transport import reply_head


class ReplyStart:
    """Checks the name of the protocol; the parser accepts other ones too.

    A reply that begins in the same bytes as an interim one is not checked.
    """

    __slots__ = ('_has_begun', '_received')

    def __init__(self) -> None:
        """Expect a reply."""
        self._has_begun = False
        self._received = b''

    def begin(self) -> None:
        """Record that the parser has read the first byte of a reply."""
        self._has_begun = True

    def is_valid_with(self, chunk: bytes) -> bool:
        """Tell whether a reply may begin, or may go on, with these bytes."""
        if self._has_begun and not self._received:
            return True
        missing = len(reply_head.PROTOCOL) - len(self._received)
        self._received += chunk[:missing]
        return reply_head.PROTOCOL.startswith(self._received)
