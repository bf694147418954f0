"""The record of one non-idempotent request."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Claim:
    """The state of a request key, stored on the platform.

    ``state`` is ``claimed``, ``dispatched``, ``done`` or ``cancelled``.
    ``holder`` is the node that holds the claim.
    """

    key: str
    service: str
    state: str
    digest: str
    holder: str
    result: str = ''
