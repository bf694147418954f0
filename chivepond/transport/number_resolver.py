"""Resolution of IP numbers, which needs no look-up."""

import socket

from aiosonic import resolver


class NumberResolver(resolver.AbstractResolver):
    """Answers with the number itself.

    The resolver of the library runs ``getaddrinfo`` in a thread of its own;
    all addresses here are numbers, and one loop on one thread suffices.
    The protocol is named because the loop sets TCP_NODELAY only on sockets
    that say TCP; without it each exchange waits 40 ms for a delayed
    acknowledgement.
    """

    __slots__ = ()

    async def resolve(
        self,
        hostname: str,
        port: int = 0,
        family: int = socket.AF_INET,
    ) -> list[dict[str, object]]:
        """Return one record in the form that the connector expects."""
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
        """Do nothing; there is nothing to close."""
