"""A loop whose clock jumps to the next timer instead of waiting for it."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class _Selector(selectors.SelectSelector):
    """Lets virtual time pass where a real one would wait."""

    loop: 'Loop'

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return what is ready; else jump ahead by ``timeout`` seconds."""
        ready = super().select(0)
        if not ready and timeout:
            self.loop.now += timeout
        return ready


class Loop(asyncio.SelectorEventLoop):
    """A loop that starts at zero seconds and never waits."""

    def __init__(self) -> None:
        """Start at zero."""
        selector = _Selector()
        selector.loop = self
        self.now = float(0)
        super().__init__(selector)

    def time(self) -> float:
        """Return the virtual time."""
        return self.now


def run(main: Coroutine[Any, Any, Any]) -> Any:
    """Run a test in virtual time; what is left running is cancelled."""
    with asyncio.Runner(loop_factory=Loop) as runner:
        return runner.run(main)
