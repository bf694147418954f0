"""Reserves loopback addresses for the gateways of one soak."""

import itertools
import socket
import types
from collections.abc import Iterable
from typing import Self

#: Host number and port of the address that marks a subnet as reserved.
_RESERVATION = (254, 8100)
#: How many 127.x.77 subnets of loopback addresses are tried.
_SUBNET_COUNT = 250


class LoopbackSubnet:
    """A 127.x.77 subnet that no other soak uses while the context is open.

    Guards against clients that reach the gateways of another soak, and
    against gateways that find their address in use: a probe for listeners
    alone lets two soaks choose the same subnet before their gateways listen,
    or while one restarts its first gateway.
    """

    __slots__ = ('_first', '_hosts', '_number', '_ports', '_reservation')

    def __init__(self, first: int, hosts: int, ports: Iterable[int]) -> None:
        """Choose a subnet whose octet is ``first + 1`` or follows it.

        All ``ports`` must be free on the host numbers from 1 to ``hosts``.
        """
        self._first = first
        self._hosts = hosts
        self._ports = tuple(ports)
        self._number = 0
        self._reservation: socket.socket | None = None

    def __enter__(self) -> Self:
        """Reserve a subnet; raise RuntimeError when every one is in use."""
        for number in range(self._first, self._first + _SUBNET_COUNT):
            self._number = number % _SUBNET_COUNT + 1
            reservation = _bind(self.ip(_RESERVATION[0]), _RESERVATION[1])
            if reservation is None:
                continue
            if self._is_free():
                self._reservation = reservation
                return self
            reservation.close()
        raise RuntimeError(
            'every loopback subnet 127.x.77 is in use; stop other soaks'
        )

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Release the subnet."""
        self._reservation.close()

    def ip(self, host: int) -> str:
        """Return the address of a host number in the subnet."""
        return f'127.{self._number}.77.{host}'

    def _is_free(self) -> bool:
        """Tell whether no process left by another soak uses the addresses."""
        hosts = range(1, self._hosts + 1)
        for host, port in itertools.product(hosts, self._ports):
            probe = _bind(self.ip(host), port)
            if probe is None:
                return False
            probe.close()
        return True


def _bind(ip: str, port: int) -> socket.socket | None:
    """Return a socket bound to an address, or ``None`` if it is in use."""
    bound = socket.socket()
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        bound.bind((ip, port))
        bound.listen()
    except OSError:
        bound.close()
        return None
    return bound
