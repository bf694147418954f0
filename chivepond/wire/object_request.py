"""A request to another node for replicated objects."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class ObjectRequest:
    """The keys of the requested objects."""

    keys: list[str]
