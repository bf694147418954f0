"""The answer to a non-idempotent request."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class CommandAnswer:
    """How a request key stands.

    ``outcome`` is ``done``, ``pending`` or ``not_run``; ``replayed`` tells
    that the result is that of an earlier request with the same key.
    """

    key: str
    outcome: str
    result: str = ''
    replayed: bool = False
