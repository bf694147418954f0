"""A list of objects on the platform."""

import dataclasses

from chivepond.wire import stored_object


@dataclasses.dataclass(slots=True, frozen=True)
class ObjectList:
    """The reply to a list request or a watch."""

    entries: list[stored_object.StoredObject]
