"""Reads the settings file again when it changes."""

import asyncio
import pathlib

import result

from chivepond.gateway import gateway
from chivepond.settings import gateway_settings, loader

#: Between two looks at the file, in seconds: a change without a signal is in
#: force after this time at the latest.
_LOOK_S = 2.0


class SettingsWatch:
    """Hands changed settings to the gateway; wrong ones change nothing."""

    __slots__ = ('_changed', '_path', '_running', '_seen', '_settings')

    def __init__(
        self,
        path: pathlib.Path,
        settings: gateway_settings.GatewaySettings,
        running: gateway.Gateway,
        changed: asyncio.Event,
    ) -> None:
        """Look at ``path`` now and then, and when ``changed`` is set."""
        self._path = path
        self._settings = settings
        self._running = running
        self._changed = changed
        self._seen = self._stamp()

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            is_signalled = await self._wait()
            stamp = self._stamp()
            if is_signalled or stamp != self._seen:
                self._seen = stamp
                self._reload()

    async def _wait(self) -> bool:
        try:
            async with asyncio.timeout(_LOOK_S):
                await self._changed.wait()
        except TimeoutError:
            return False
        self._changed.clear()
        return True

    def _stamp(self) -> tuple[int, int] | None:
        try:
            seen = self._path.stat()
        except OSError:
            # The file is being replaced; the next look finds it.
            return None
        return (seen.st_mtime_ns, seen.st_size)

    def _reload(self) -> None:
        loaded = loader.load(gateway_settings.GatewaySettings, self._path)
        match loaded:
            case result.Ok(settings):
                self._running.reload(settings, self._changes(settings))
                self._settings = settings
            case wrong:
                self._running.refuse_settings(str(wrong.unwrap_err()))

    def _changes(self, settings: gateway_settings.GatewaySettings) -> list[str]:
        return [
            field
            for field in gateway_settings.GatewaySettings.__struct_fields__
            if getattr(settings, field) != getattr(self._settings, field)
        ]
