"""Reloads the settings file when it changes."""

import asyncio
import pathlib

import result

from chivepond.gateway import gateway
from chivepond.settings import gateway_settings, loader

#: Poll interval, in seconds: the longest time until a change of the file takes
#: effect without a signal.
_POLL_S = 2.0


class SettingsWatch:
    """Applies changed settings to the gateway; rejects invalid ones."""

    __slots__ = (
        '_reload_requested',
        '_path',
        '_gateway',
        '_last_stamp',
        '_settings',
    )

    def __init__(
        self,
        path: pathlib.Path,
        settings: gateway_settings.GatewaySettings,
        running_gateway: gateway.Gateway,
        reload_requested: asyncio.Event,
    ) -> None:
        """Poll ``path``; reload it at once when ``reload_requested`` is set."""
        self._path = path
        self._settings = settings
        self._gateway = running_gateway
        self._reload_requested = reload_requested
        self._last_stamp = self._read_stamp()

    async def run(self) -> None:
        """Reload changed settings until cancelled."""
        while True:
            is_signalled = await self._wait()
            stamp = self._read_stamp()
            if is_signalled or stamp != self._last_stamp:
                self._last_stamp = stamp
                self._reload()

    async def _wait(self) -> bool:
        try:
            async with asyncio.timeout(_POLL_S):
                await self._reload_requested.wait()
        except TimeoutError:
            return False
        self._reload_requested.clear()
        return True

    def _read_stamp(self) -> tuple[int, int] | None:
        try:
            status = self._path.stat()
        except OSError:
            # The file is being replaced; the next poll reads it.
            return None
        return (status.st_mtime_ns, status.st_size)

    def _reload(self) -> None:
        loaded = loader.load(gateway_settings.GatewaySettings, self._path)
        match loaded:
            case result.Ok(settings):
                self._gateway.reload(settings, self._changed_fields(settings))
                self._settings = settings
            case failure:
                self._gateway.refuse_settings(str(failure.unwrap_err()))

    def _changed_fields(
        self, settings: gateway_settings.GatewaySettings
    ) -> list[str]:
        return [
            field
            for field in gateway_settings.GatewaySettings.__struct_fields__
            if getattr(settings, field) != getattr(self._settings, field)
        ]
