"""One team's section of the draft."""

import msgspec


class DraftSection(msgspec.Struct, frozen=True):
    """The section as it was last edited; ``edits`` counts its edits.

    ``token`` is the last editor's, to know its own edit again;
    ``based_on`` is the draft's version that the edit replaced, which tells
    what was edited first.

    A msgspec struct, since a raw field with a default can't be decoded
    into a data class.
    """

    edits: int = 0
    body: msgspec.Raw = msgspec.Raw(b'{}')
    token: str = ''
    based_on: int = 0
