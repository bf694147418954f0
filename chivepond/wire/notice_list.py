"""A list of replicated objects, sent from node to node."""

import dataclasses

from chivepond.wire import notice


@dataclasses.dataclass(slots=True, frozen=True)
class NoticeList:
    """Replicated objects with their versions."""

    notices: list[notice.Notice]
