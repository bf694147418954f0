"""Detects searchers that crash while they run a request."""

import asyncio

from chivepond.gateway import (
    closeable,
    crash_table,
    forwarded_request,
    searchers,
    telemetry,
)
from chivepond.observe import events

#: Seconds between the first closed connection and the probe of the searchers:
#: those that crash under the same request do so within that time.
_PROBE_DELAY_S = 0.3
#: The most searchers that are probed for one request.
_MAX_PROBED_SEARCHERS = 4


class CrashWatch(closeable.Closeable):
    """Probes searchers whose connections closed before they replied.

    A searcher that refuses a new connection has crashed; one that accepts it
    has only reset a connection.
    """

    __slots__ = ('_searchers', '_tasks', '_telemetry', 'table')

    def __init__(
        self,
        registered: searchers.Searchers,
        table: crash_table.CrashTable,
        gateway_telemetry: telemetry.Telemetry,
    ) -> None:
        """Probe searchers in ``registered``; record crashes in ``table``."""
        self.table = table
        self._searchers = registered
        self._telemetry = gateway_telemetry
        self._tasks: set[asyncio.Task[None]] = set()

    def close(self) -> None:
        """Cancel all probes."""
        for task in self._tasks:
            task.cancel()

    def follow(self, request: forwarded_request.ForwardedRequest) -> None:
        """Probe the searchers that disconnect while they run ``request``."""
        request.on_disconnect = self._schedule_inspection
        request.on_reply = self.table.record_reply

    def _schedule_inspection(
        self, request: forwarded_request.ForwardedRequest
    ) -> None:
        task = asyncio.create_task(self._inspect(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _inspect(
        self, request: forwarded_request.ForwardedRequest
    ) -> None:
        await asyncio.sleep(_PROBE_DELAY_S)
        request.has_crash_check = False
        evidence = request.evidence
        if not evidence.is_suspect:
            return
        disconnected_ids = sorted(evidence.disconnected_ids)
        crashed = await self._unreachable(
            disconnected_ids[:_MAX_PROBED_SEARCHERS]
        )
        if not crashed or not evidence.is_suspect:
            return
        self._telemetry.emit(
            events.SEARCHERS_CRASHED,
            request=request.request_id.decode(errors='replace'),
            fingerprint=request.fingerprint,
            crashed=crashed,
            cut=len(disconnected_ids),
        )
        self.table.record_crashes(request, len(crashed))

    async def _unreachable(self, searcher_ids: list[str]) -> list[str]:
        """Return the searchers that accept no connection."""
        reachable = await asyncio.gather(
            *map(self._searchers.is_reachable, searcher_ids),
        )
        return [
            searcher_id
            for searcher_id, is_up in zip(searcher_ids, reachable, strict=True)
            if not is_up
        ]
