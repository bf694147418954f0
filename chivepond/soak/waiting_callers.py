"""Callers of a soak whose requests wait longer than a planned stop takes."""

import asyncio
import itertools
import random
import time
import types
from collections.abc import Sequence
from typing import Self

from chivepond.gateway import outcome
from chivepond.soak import (
    gateway_calls,
    gateway_checks,
    gateway_process,
    searcher_ledger,
)

#: A service whose searchers take seconds for each request.
SERVICE = 'waits'
_CALLERS = 12
_POLL_S = 0.05
#: Seconds after which the connection of a request that was read must not end
#: without an answer at a planned stop.
_LOSS_SLACK_S = 0.2


class WaitingCallers:
    """Sends requests while it is entered, each on a new connection."""

    __slots__ = (
        '_checks',
        '_ledger',
        '_numbers',
        '_processes',
        '_random',
        '_tasks',
        'stopped',
    )

    def __init__(
        self,
        rng: random.Random,
        processes: Sequence[gateway_process.GatewayProcess],
        checks: gateway_checks.GatewayChecks,
        ledger: searcher_ledger.SearcherLedger,
    ) -> None:
        """Send to ``processes``; report lost requests to ``checks``."""
        self._random = rng
        self._processes = processes
        self._checks = checks
        self._ledger = ledger
        self._numbers = itertools.count(1)
        self._tasks: list[asyncio.Task[None]] = []
        #: Processes that were stopped, and neither killed nor paused since.
        self.stopped: set[asyncio.subprocess.Process] = set()

    async def __aenter__(self) -> Self:
        """Start the callers."""
        self._tasks = [
            asyncio.create_task(self._run()) for _ in range(_CALLERS)
        ]
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Stop the callers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            process = self._random.choice(self._processes)
            if not await self._is_answered(process):
                await asyncio.sleep(_POLL_S)

    async def _is_answered(
        self, process: gateway_process.GatewayProcess
    ) -> bool:
        """Send one request; return whether it was answered."""
        connection = await gateway_calls.connect(process)
        if connection is None:
            return False
        request_id = b'w%d' % next(self._numbers)
        serving = process.process
        began_at = time.monotonic()
        self._ledger.record_client_request((SERVICE,))
        call_outcome = await gateway_calls.send_request(
            connection, 'wait', request_id
        )
        connection.abort()
        took_s = time.monotonic() - began_at
        match call_outcome:
            case outcome.Reply():
                self._checks.check_single(
                    request_id, SERVICE, call_outcome, is_idempotent=True
                )
                return True
            case _ if serving in self.stopped and took_s > _LOSS_SLACK_S:
                self._checks.add_violation(
                    'a planned stop answers all requests',
                    f'{request_id!r} at {process.name} after {took_s:.2f} s',
                )
        return False
