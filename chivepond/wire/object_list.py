"""The objects of one kind."""

import dataclasses

from chivepond.wire import stored_object


@dataclasses.dataclass(slots=True, frozen=True)
class ObjectList:
    """What the platform lists."""

    entries: list[stored_object.StoredObject]
