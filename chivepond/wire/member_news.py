"""What a node has heard of another, as it is passed on."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class MemberNews:
    """State of a node at one of its incarnations.

    ``state`` is ``alive``, ``suspect``, ``dead`` or ``leaving``.
    """

    node_id: str
    state: str
    incarnation: int
