"""A resolver for numeric IP addresses, without look-ups."""

import socket

from aiosonic import resolver


class NumberResolver(resolver.AbstractResolver):
    """Returns each numeric address unchanged.

    The resolver of the library runs ``getaddrinfo`` in a separate thread;
    all addresses here are numeric, so no thread is needed. The record names
    the protocol because the event loop sets TCP_NODELAY only on sockets
    whose protocol is TCP; without it each exchange waits 40 ms for a delayed
    acknowledgement.
    """

    __slots__ = ()

    async def resolve(
        self,
        hostname: str,
        port: int = 0,
        family: int = socket.AF_INET,
    ) -> list[dict[str, object]]:
        """Return one record in the format that the connector expects."""
        is_ipv6 = ':' in hostname
        return [
            {
                'hostname': hostname,
                'host': hostname,
                'port': port,
                'family': socket.AF_INET6 if is_ipv6 else family,
                'proto': socket.IPPROTO_TCP,
                'flags': socket.AI_NUMERICHOST,
            },
        ]

    async def close(self) -> None:
        """Do nothing; the resolver holds no resources."""
