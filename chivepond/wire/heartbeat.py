"""What nodes tell each other now and then."""

import msgspec

from chivepond.wire import host, member_news


class Heartbeat(msgspec.Struct, frozen=True, omit_defaults=True):
    """A sign of life with news of others and a digest of what is held.

    ``version_by_key`` is filled only in an answer, where digests differ.
    ``unlisted`` are nodes that the platform's list may lack so far, and
    ``searchers_by_state`` counts the sender's searchers, told only to the
    node that writes the status.

    A msgspec struct, since those leave out what is empty: a node sends and
    gets sixteen of these a second.
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
