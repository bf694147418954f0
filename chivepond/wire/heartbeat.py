"""What nodes tell each other now and then."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Heartbeat:
    """A sign of life with the versions that the sender holds."""

    node_id: str
    incarnation: int
    is_leaving: bool
    revision: int
    version_by_key: dict[str, int]
