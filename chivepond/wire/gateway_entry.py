"""A gateway's registration in the store."""

import msgspec


class GatewayEntry(msgspec.Struct):
    """The address and location of a gateway, for other gateways."""

    address: str
    data_centre: str
    link_mbps: float = 0
    #: Gateway that considers this one dead and is about to remove the entry.
    suspected_by: str = ''
    #: Whether every gateway knows this entry, so that this one may use its
    #: part of the bursts of hedges.
    is_settled: bool = False
