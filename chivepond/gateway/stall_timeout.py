"""A time-out that does not expire while this process stalls."""

import asyncio
import types

#: The last part of the time-out, in which the event loop must have run: a
#: share of the whole, and its maximum in seconds.
_LAST_SHARE = 0.25
_MAX_LAST_S = 0.1


class StallTimeout:
    """Raises TimeoutError at a deadline, or somewhat later after a stall.

    A process that was stalled until after the deadline has had no chance to
    read what arrived meanwhile, so the last part of the time-out starts only
    when it runs again.
    """

    __slots__ = ('_last_s', '_loop', '_timeout', '_timer')

    def __init__(self, deadline: float) -> None:
        """Time out at ``deadline``, in seconds on the loop's clock."""
        self._loop = asyncio.get_running_loop()
        self._timeout = asyncio.timeout_at(deadline)
        left_s = max(0, deadline - self._loop.time())
        self._last_s = min(_MAX_LAST_S, left_s * _LAST_SHARE)
        self._timer = self._loop.call_at(
            deadline - self._last_s, self._begin_last_part
        )

    async def __aenter__(self) -> asyncio.Timeout:
        """Return the time-out, which may be rescheduled."""
        return await self._timeout.__aenter__()

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> bool | None:
        """Raise TimeoutError if the time-out has expired."""
        self._timer.cancel()
        return await self._timeout.__aexit__(kind, error, trace)

    def _begin_last_part(self) -> None:
        earliest = self._loop.time() + self._last_s
        expires_at = self._timeout.when()
        if expires_at is not None and expires_at < earliest:
            self._timeout.reschedule(earliest)
