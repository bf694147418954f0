"""The HTTP protocol of a stand-in searcher, with connection faults."""

import asyncio
from typing import Any

from uvicorn.protocols.http import httptools_impl

from chivepond.standins import searcher_counts


class CappedProtocol(httptools_impl.HttpToolsProtocol):
    """Aborts connections over ``cap``; ignores requests while ``is_silent``.

    ``connect_s`` is how long the first read of a connection is delayed.
    """

    counts: searcher_counts.SearcherCounts
    cap: int
    connect_s: float
    open_now: set['CappedProtocol']
    is_silent: bool
    is_refused: bool

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Count the connection, or abort it when ``cap`` are open."""
        self.is_silent = False
        self.is_refused = len(self.open_now) >= self.cap
        if self.is_refused:
            self.counts.refused_connections += 1
            transport.abort()
            return
        self.open_now.add(self)
        self.counts.connections += 1
        self.counts.peak_connections = max(
            self.counts.peak_connections,
            len(self.open_now),
        )
        super().connection_made(transport)
        if self.connect_s:
            transport.pause_reading()
            self.loop.call_later(self.connect_s, self._resume_reading)

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection from the open ones."""
        self.open_now.discard(self)
        if not self.is_refused:
            super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:  # noqa: WPS110
        """Serve received bytes, unless the connection is silent or refused."""
        if not self.is_silent and not self.is_refused:
            super().data_received(data)

    def _resume_reading(self) -> None:
        if not self.transport.is_closing():
            self.transport.resume_reading()


def protocol_class(
    counts: searcher_counts.SearcherCounts,
    cap: int,
    connect_s: float,
) -> type[Any]:
    """Return a protocol class for one searcher, with its own connections.

    ``cap`` is the number of connections that may be open at a time.
    """
    return type(
        'SearcherProtocol',
        (CappedProtocol,),
        {
            'counts': counts,
            'cap': cap,
            'connect_s': connect_s,
            'open_now': set(),
        },
    )
