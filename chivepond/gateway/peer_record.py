"""The registration of a gateway as other gateways use it."""

import dataclasses

from chivepond.transport import address


@dataclasses.dataclass(slots=True, frozen=True)
class PeerRecord:
    """Address, data centre and link bandwidth of one gateway."""

    node_id: str
    address: address.Address
    data_centre: str
    link_mbps: float
