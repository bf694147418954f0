"""The other nodes, grouped for the sampling of heartbeat peers."""

import dataclasses
import random

from chivepond.wire import host

_NEAR_SAMPLE_SIZE = 3
_FAR_SAMPLE_SIZE = 1
_REMOVED_SAMPLE_SIZE = 1


@dataclasses.dataclass(slots=True)
class PeerGroups:
    """Live nodes of this data centre, live ones of others, and removed ones.

    The groups are built when a view changes, so that the cost of a heartbeat
    period does not grow with the fleet.
    """

    near: list[host.Host] = dataclasses.field(default_factory=list)
    far: list[host.Host] = dataclasses.field(default_factory=list)
    removed: list[host.Host] = dataclasses.field(default_factory=list)

    def sample(self, rng: random.Random) -> list[host.Host]:
        """Return up to three near peers, one far peer and one removed peer.

        A removed peer may be back, or may have been declared dead wrongly.
        """
        return [
            *_sample_up_to(self.near, _NEAR_SAMPLE_SIZE, rng),
            *_sample_up_to(self.far, _FAR_SAMPLE_SIZE, rng),
            *_sample_up_to(self.removed, _REMOVED_SAMPLE_SIZE, rng),
        ]


def _sample_up_to(
    peers: list[host.Host],
    count: int,
    rng: random.Random,
) -> list[host.Host]:
    return rng.sample(peers, min(count, len(peers)))
