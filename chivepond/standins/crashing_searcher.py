"""A stand-in for a searcher that certain requests crash."""

import asyncio
import itertools
import types
from collections.abc import Callable
from typing import Self

from chivepond.standins import scripted_searcher
from chivepond.transport import address

_id_numbers = itertools.count(1)

RegisterSearcher = Callable[[str, address.Address | None], None]


class CrashingSearcher:
    """Replies by a script, and crashes on a request for ``fatal_path``.

    Restarts under a new identifier and address after ``down_s`` seconds.
    """

    __slots__ = (
        '_restart_delay_s',
        '_fatal_path',
        '_register',
        '_reply',
        '_searcher',
        '_searcher_id',
        '_tasks',
        'crashed_under',
    )

    def __init__(
        self,
        reply: scripted_searcher.Reply,
        register: RegisterSearcher,
        fatal_path: bytes,
        down_s: float,
    ) -> None:
        """Call ``register`` with each identifier and its address.

        The address is None when the searcher of that identifier is removed,
        just before its successor starts.
        """
        self._reply = reply
        self._register = register
        self._fatal_path = fatal_path
        self._restart_delay_s = down_s
        self._searcher_id = ''
        self._searcher: scripted_searcher.ScriptedSearcher | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        #: Identifiers of the requests that made the searcher crash.
        self.crashed_under: list[bytes] = []

    async def __aenter__(self) -> Self:
        """Start the first searcher, and register it."""
        await self._start()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Stop the searcher without a restart."""
        for task in self._tasks:
            task.cancel()
        if self._searcher is not None:
            self._searcher.stop()

    @property
    def is_up(self) -> bool:
        """Whether a searcher is running."""
        return self._searcher is not None

    def crash(self) -> None:
        """Stop the searcher, and schedule its restart."""
        if self._searcher is None:
            return
        self._searcher.stop()
        self._searcher = None
        task = asyncio.create_task(self._restart_later())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _start(self) -> None:
        self._searcher_id = f's-{next(_id_numbers)}'
        searcher = scripted_searcher.ScriptedSearcher(self._serve)
        self._searcher = await searcher.__aenter__()
        self._register(self._searcher_id, searcher.address)

    async def _serve(
        self,
        request: scripted_searcher.Got,
    ) -> scripted_searcher.Told:
        if self._fatal_path not in request.line:
            return await self._reply(request)
        self.crashed_under.append(request.request_id)
        self.crash()
        return scripted_searcher.Told(b'', then='reset')

    async def _restart_later(self) -> None:
        await asyncio.sleep(self._restart_delay_s)
        self._register(self._searcher_id, None)
        await self._start()
