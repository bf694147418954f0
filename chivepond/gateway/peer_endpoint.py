"""The remote end of a channel, with its limits and time-outs."""

import dataclasses

from chivepond.decisions import upstream_health
from chivepond.gateway import reply_buffers
from chivepond.transport import address

#: The connect time-out in seconds. TCP retransmits a lost SYN after one second;
#: another searcher is tried before that.
_CONNECT_TIMEOUT_S = 0.6
#: The idle time-out in seconds of a searcher without a Keep-Alive time-out.
_IDLE_TIMEOUT_S = 10.0


@dataclasses.dataclass(slots=True, frozen=True)
class PeerEndpoint:
    """The searcher or gateway that a channel connects to."""

    name: str
    address: address.Address
    #: The number of requests that it runs at a time.
    slots: int
    #: The number of consecutive failures after which it is ejected.
    failures: int = upstream_health.USUAL_FAILURES
    #: The connect time-out in seconds.
    connect_s: float = _CONNECT_TIMEOUT_S
    #: The idle time-out in seconds, unless a reply states one in its
    #: Keep-Alive header.
    idle_s: float = _IDLE_TIMEOUT_S
    #: The memory of replies in progress, which all ends share.
    buffers: reply_buffers.ReplyBuffers | None = None
