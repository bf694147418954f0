"""Reads the round-trip time of a TCP connection from the kernel."""

import asyncio
import socket
import struct

#: The offset of the smoothed round trip in the ``tcp_info`` structure, and the
#: number of bytes to read of it.
_ROUND_TRIP_OFFSET = 68
_TCP_INFO_BYTES = 72
_US_PER_S = 1000000
_ROUND_TRIP_FIELD = struct.Struct('<I')
_TCP_INFO = getattr(socket, 'TCP_INFO', None)


def seconds(transport: asyncio.BaseTransport, default_s: float) -> float:
    """Return the smoothed round trip in seconds, or ``default_s``.

    Returns ``default_s`` when the platform or the socket has no TCP_INFO, or
    when nothing has been measured yet.
    """
    connected_socket = transport.get_extra_info('socket')
    if connected_socket is None or _TCP_INFO is None:
        return default_s
    try:
        tcp_info = connected_socket.getsockopt(
            socket.IPPROTO_TCP, _TCP_INFO, _TCP_INFO_BYTES
        )
    except OSError:
        # The platform has no such option, or the connection has just closed.
        return default_s
    if len(tcp_info) < _TCP_INFO_BYTES:
        return default_s
    measured_us = _ROUND_TRIP_FIELD.unpack_from(tcp_info, _ROUND_TRIP_OFFSET)[0]
    return measured_us / _US_PER_S if measured_us else default_s
