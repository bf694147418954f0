"""Estimates how long requests and their responses take in the network."""

import asyncio

from chivepond.gateway import tcp_round_trip

#: Round trip assumed where the kernel reports none, in seconds.
_DEFAULT_ROUND_TRIP_S = 0.002


class NetworkDelay:
    """The network delay of the requests of one connection."""

    __slots__ = ('_is_first_request',)

    def __init__(self) -> None:
        """Expect the first request of the connection."""
        self._is_first_request = True

    def next_s(self, transport: asyncio.BaseTransport) -> float:
        """Return the delay of the next request and its response, in seconds.

        The first request of a connection also waits for the TCP handshake,
        which is one more round trip.
        """
        round_trip_s = tcp_round_trip.seconds(transport, _DEFAULT_ROUND_TRIP_S)
        round_trips = 2 if self._is_first_request else 1
        self._is_first_request = False
        return round_trips * round_trip_s
