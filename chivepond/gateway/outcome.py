"""How one exchange with a searcher or the store ended."""

import dataclasses

from chivepond.gateway import header_list

_SUCCESSES = range(200, 300)  # noqa: WPS432


@dataclasses.dataclass(slots=True)
class Reply:
    """A whole reply in the protocol."""

    status: int
    headers: header_list.HeaderList
    body: bytes

    @property
    def is_success(self) -> bool:
        """Whether the status says so."""
        return self.status in _SUCCESSES


@dataclasses.dataclass(slots=True, frozen=True)
class NotSent:
    """No byte of the request left: it did not run."""

    reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class Broken:
    """The request left, and no whole reply came: it may have run."""

    reason: str
    #: How much of a reply had come, where that was followed.
    received_bytes: int = 0
    #: Whether the other end ended the connection.
    is_cut: bool = False


Outcome = Reply | NotSent | Broken
