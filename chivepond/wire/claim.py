"""The record of one non-idempotent request."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Claim:
    """How a request key stands, kept by the platform.

    ``state`` is ``claimed``, ``dispatched``, ``done`` or ``cancelled``.
    """

    key: str
    service: str
    state: str
    digest: str
    holder: str
    result: str = ''
