"""The heartbeat that nodes send to each other."""

import msgspec

from chivepond.wire import host, member_news


class Heartbeat(msgspec.Struct, frozen=True, omit_defaults=True):
    """A liveness message with membership updates and a replication digest.

    ``digest`` covers the sender's replicated objects; ``version_by_key`` is
    set only in a reply, when the digests differ. ``unlisted`` holds nodes
    that the platform's list of hosts may not contain yet.
    ``searchers_by_state`` counts the sender's searchers and is sent only to
    the node that writes the status.

    The type is a msgspec struct because these omit empty fields: a node sends
    and receives sixteen heartbeats a second.
    """

    node_id: str
    incarnation: int
    revision: int
    digest: str = ''
    is_leaving: bool = False
    version_by_key: dict[str, int] = msgspec.field(default_factory=dict)
    news: list[member_news.MemberNews] = msgspec.field(default_factory=list)
    unlisted: list[host.Host] = msgspec.field(default_factory=list)
    searchers_by_state: dict[str, int] | None = None
