"""Holds requests back for a moment while a gateway has just started."""

import asyncio

#: How long after the start a request is held at the most, in seconds. A list
#: of the store takes 25 to 95 ms with its connection; what takes three times as
#: long is an outage, in which callers are told at once when to come back.
_LONGEST_S = 0.3


class FirstNews:
    """Set when routes and searchers are known for the first time.

    Guards against refusals just after a start: callers who waited for the
    first gateway to listen came before its first list, were told to come back
    in a second, and most had given up by then.
    """

    __slots__ = ('_came', '_until')

    def __init__(self) -> None:
        """Hold from now on."""
        self._until = asyncio.get_running_loop().time() + _LONGEST_S
        self._came = asyncio.Event()

    def came(self) -> None:
        """Take the news that all is known."""
        self._came.set()

    async def wait(self) -> None:
        """Return when all is known, or the start is over."""
        if self._came.is_set():
            return
        try:
            async with asyncio.timeout_at(self._until):
                await self._came.wait()
        except TimeoutError:
            return
