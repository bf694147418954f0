"""One team's section of the draft document."""

import msgspec


class DraftSection(msgspec.Struct, frozen=True):
    """The latest edit of a section; ``edits`` counts its edits.

    ``token`` lets the editor recognise its own edit when a reply was lost.
    ``based_on`` is the version of the draft that the edit replaced; it orders
    the edits of different sections.

    The type is a msgspec struct because a raw field with a default can't be
    decoded into a data class.
    """

    edits: int = 0
    body: msgspec.Raw = msgspec.Raw(b'{}')
    token: str = ''
    based_on: int = 0
