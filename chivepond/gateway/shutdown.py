"""When a stopping gateway ends the requests that it still serves."""

import asyncio
import types
from typing import Self

#: How much earlier than its own clients a stopping gateway answers other
#: gateways, in seconds. They may still send the request elsewhere.
PEER_MARGIN_S = 0.1
REASON = 'the gateway is shutting down'


class RequestLimit:
    """Cancels the enclosed work when the gateway stops serving.

    The cancellation is suppressed, and ``is_expired`` is set.
    """

    __slots__ = ('_margin_s', '_shutdown', '_timeout', 'is_expired')

    def __init__(self, shutdown: 'Shutdown', margin_s: float) -> None:
        """End the work ``margin_s`` seconds before ``shutdown`` does."""
        self._shutdown = shutdown
        self._margin_s = margin_s
        self._timeout = asyncio.timeout(None)
        #: Whether the work was cancelled.
        self.is_expired = False

    async def __aenter__(self) -> Self:
        """Start to watch the current task."""
        await self._timeout.__aenter__()
        self._shutdown.add(self)
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> bool:
        """Suppress the cancellation if it is this limit's own."""
        self._shutdown.remove(self)
        try:
            await self._timeout.__aexit__(error_type, error, traceback)
        except TimeoutError:
            self.is_expired = True
        return self.is_expired

    def apply(self, ends_at: float) -> None:
        """Set the time at which the gateway stops serving."""
        self._timeout.reschedule(ends_at - self._margin_s)


class Shutdown:
    """The time at which requests in progress must be answered.

    Guards against requests that end with the process: those that wait for a
    connection or for a reply have no other bound than their own deadline.
    """

    __slots__ = ('_ends_at', '_limits')

    def __init__(self) -> None:
        """Start without a limit."""
        self._ends_at: float | None = None
        self._limits: set[RequestLimit] = set()

    def begin(self, ends_at: float) -> None:
        """End all requests at ``ends_at``, in seconds on the loop's clock."""
        self._ends_at = ends_at
        for limit in self._limits:
            limit.apply(ends_at)

    def left_s(self) -> float | None:
        """Return the seconds left for requests, or none before a shutdown."""
        if self._ends_at is None:
            return None
        return self._ends_at - asyncio.get_running_loop().time()

    def limit(self, margin_s: float = 0) -> RequestLimit:
        """Return a context manager that limits the enclosed work."""
        return RequestLimit(self, margin_s)

    def add(self, limit: RequestLimit) -> None:
        """Apply the shutdown to a limit, now or when it begins."""
        self._limits.add(limit)
        if self._ends_at is not None:
            limit.apply(self._ends_at)

    def remove(self, limit: RequestLimit) -> None:
        """Forget a limit whose work has ended."""
        self._limits.discard(limit)
