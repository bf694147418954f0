"""Outcomes of an HTTP exchange with a searcher, a gateway or the store."""

import dataclasses

from chivepond.gateway import header_list

_SUCCESSES = range(200, 300)  # noqa: WPS432


@dataclasses.dataclass(slots=True)
class Reply:
    """A complete HTTP response."""

    status: int
    headers: header_list.HeaderList
    body: bytes

    @property
    def is_success(self) -> bool:
        """Whether the status is 2xx."""
        return self.status in _SUCCESSES


@dataclasses.dataclass(slots=True, frozen=True)
class NotSent:
    """No byte of the request was sent, so it did not run."""

    reason: str


@dataclasses.dataclass(slots=True, frozen=True)
class Broken:
    """The request was sent, but no complete reply arrived: it may have run."""

    reason: str
    #: Bytes of the reply that had arrived, where the sender tracked them.
    received_bytes: int = 0
    #: Whether the peer closed or reset the connection.
    is_disconnect: bool = False
    #: Whether the reply was aborted, as it exceeded a limit or is not valid.
    is_aborted: bool = False


Outcome = Reply | NotSent | Broken
