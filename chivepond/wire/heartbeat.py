"""What nodes tell each other now and then."""

import dataclasses

from chivepond.wire import member_news


@dataclasses.dataclass(slots=True, frozen=True)
class Heartbeat:
    """A sign of life with news of others and a digest of what is held.

    ``version_by_key`` is filled only in an answer, where digests differ.
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
