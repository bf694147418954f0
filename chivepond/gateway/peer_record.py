"""Another gateway, as it has registered itself."""

import dataclasses

from chivepond.transport import address


@dataclasses.dataclass(slots=True, frozen=True)
class PeerRecord:
    """Where one gateway is reached by others."""

    node_id: str
    address: address.Address
    data_centre: str
    link_mbps: float
