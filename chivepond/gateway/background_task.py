"""Work of a gateway that goes on until the gateway stops."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from chivepond.gateway import telemetry
from chivepond.observe import events

#: Pause before work is started again, in seconds. Work that fails at once each
#: time must not occupy the loop.
_RESTART_PAUSE_S = 1.0


async def run(
    work: Callable[[], Coroutine[Any, Any, None]],
    name: str,
    gateway_telemetry: telemetry.Telemetry,
) -> None:
    """Run ``work`` until it returns or is cancelled.

    Guards against a gateway that goes on serving while a task has ended by an
    exception: it would follow no change any more, and nobody would know. The
    exception is logged, and the work is started again.
    """
    while True:
        try:
            return await work()
        except Exception as error:
            gateway_telemetry.emit(
                events.GATEWAY_FAULT, what=f'{name}: {error!r}'
            )
        await asyncio.sleep(_RESTART_PAUSE_S)
