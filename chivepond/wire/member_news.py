"""A membership update that nodes gossip about another node."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class MemberNews:
    """The state of a node in one of its incarnations.

    ``state`` is ``alive``, ``suspect``, ``dead`` or ``leaving``.
    """

    node_id: str
    state: str
    incarnation: int
