"""The round trip of a connection, as the kernel has measured it."""

import asyncio
import socket
import struct

#: Where the smoothed round trip stands in what TCP_INFO returns, and how many
#: bytes of that are read.
_OFFSET = 68
_SIZE = 72
_US_PER_S = 1000000
_ROUND_TRIP = struct.Struct('<I')
_OPTION = getattr(socket, 'TCP_INFO', None)


def seconds(transport: asyncio.BaseTransport, unknown_s: float) -> float:
    """Return the round trip in seconds; ``unknown_s`` where none is known."""
    connected = transport.get_extra_info('socket')
    if connected is None or _OPTION is None:
        return unknown_s
    try:
        told = connected.getsockopt(socket.IPPROTO_TCP, _OPTION, _SIZE)
    except OSError:
        # The platform does not tell, or the connection has just ended.
        return unknown_s
    if len(told) < _SIZE:
        return unknown_s
    measured_us = _ROUND_TRIP.unpack_from(told, _OFFSET)[0]
    return measured_us / _US_PER_S if measured_us else unknown_s
