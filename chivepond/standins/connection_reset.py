"""Closes a connection with a TCP reset."""

import asyncio
import socket
import struct

_NO_LINGER = struct.pack('ii', 1, 0)


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, where closing it would send an orderly FIN.

    Skips the socket option when the socket is closed: after a reset by the
    peer, the socket closes before its reader is notified, and setting an
    option on it would raise an OSError.
    """
    raw_socket = writer.get_extra_info('socket')
    if raw_socket is not None and raw_socket.fileno() >= 0:
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    writer.transport.abort()
