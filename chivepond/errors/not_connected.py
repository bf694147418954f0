"""The error for an exchange whose connection was not established."""

import dataclasses

from chivepond.errors import unreachable


@dataclasses.dataclass(slots=True, frozen=True)
class NotConnected(unreachable.Unreachable):
    """The other process refused the connection; nothing was sent."""
