"""One team's section of the draft."""

import msgspec


class DraftSection(msgspec.Struct, frozen=True):
    """The section as it was last edited; ``edits`` counts its edits.

    ``token`` is the last editor's, to know its own edit again.

    A msgspec struct, since a raw field with a default can't be decoded
    into a data class.
    """

    edits: int = 0
    body: msgspec.Raw = msgspec.Raw(b'{}')
    token: str = ''
