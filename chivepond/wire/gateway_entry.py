"""What a gateway registers of itself."""

import msgspec


class GatewayEntry(msgspec.Struct):
    """Where other gateways reach it."""

    address: str
    data_centre: str
    link_mbps: float = 0
    #: Who takes it for gone and is about to remove it.
    suspected_by: str = ''
