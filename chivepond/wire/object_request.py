"""A request of one node for another's copies."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class ObjectRequest:
    """The keys whose bodies are wanted."""

    keys: list[str]
