"""The response to a non-idempotent request."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class CommandAnswer:
    """The outcome of the request with one key.

    ``outcome`` is ``done``, ``pending`` or ``not_run``. ``replayed`` is set
    when the result comes from an earlier request with the same key.
    """

    key: str
    outcome: str
    result: str = ''
    replayed: bool = False
