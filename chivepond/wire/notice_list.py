"""Objects handed from node to node."""

import dataclasses

from chivepond.wire import notice


@dataclasses.dataclass(slots=True, frozen=True)
class NoticeList:
    """Copies with their versions."""

    notices: list[notice.Notice]
