"""What nodes tell each other now and then."""

import dataclasses

from chivepond.wire import host, member_news


@dataclasses.dataclass(slots=True, frozen=True)
class Heartbeat:
    """A sign of life with news of others and a digest of what is held.

    ``version_by_key`` is filled only in an answer, where digests differ.
    ``unlisted`` are nodes that the platform's list may lack so far, and
    ``searchers_by_state`` counts the sender's searchers, told only to the
    node that writes the status.
    """

    node_id: str
    incarnation: int
    is_leaving: bool
    revision: int
    version_by_key: dict[str, int]
    digest: str = ''
    news: list[member_news.MemberNews] = dataclasses.field(
        default_factory=list,
    )
    unlisted: list[host.Host] = dataclasses.field(default_factory=list)
    searchers_by_state: dict[str, int] | None = None
