"""A gateway that runs as a child process."""

import asyncio
import contextlib
import os
import pathlib
import signal
import sys
import types
from collections.abc import Mapping
from typing import Self

import msgspec

_CALLER_PORT = 8101
_READINESS_PORT = 8102
_PEER_PORT = 8103
_METRICS_PORT = 8104
#: The ports that a gateway listens on.
PORTS = (_CALLER_PORT, _READINESS_PORT, _PEER_PORT, _METRICS_PORT)
#: Second sends that a service may get in a window in addition to a share of
#: its requests.
SECOND_SEND_BURST = 40
_NO_OVERRIDES: Mapping[str, object] = types.MappingProxyType({})


class GatewayProcess:
    """Starts, signals and restarts the gateway program."""

    __slots__ = (
        '_data_centre',
        '_folder',
        '_had_error',
        '_ip',
        '_log',
        '_overrides',
        '_restart_lock',
        '_store',
        'name',
        'process',
    )

    def __init__(
        self,
        name: str,
        ip: str,
        store: str,
        folder: pathlib.Path,
        data_centre: str,
        overrides: Mapping[str, object] = _NO_OVERRIDES,
    ) -> None:
        """Listen on ``ip``; write settings and log to ``folder``.

        ``store`` is the address of the store as ``ip:port``. ``overrides``
        replaces settings by their names.
        """
        self._overrides = overrides
        self._data_centre = data_centre
        self.name = name
        self._ip = ip
        self._store = store
        self._folder = folder
        self._log = folder / f'{name}.log'
        self._restart_lock = asyncio.Lock()
        self._had_error = False
        self.process: asyncio.subprocess.Process | None = None

    async def __aenter__(self) -> Self:
        """Start the process."""
        await self.start()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Kill the process, paused or running, and wait for its exit."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        await self.process.wait()

    @property
    def callers(self) -> tuple[str, int]:
        """The address that callers connect to."""
        return (self._ip, _CALLER_PORT)

    @property
    def readiness(self) -> tuple[str, int]:
        """The address of the readiness endpoint."""
        return (self._ip, _READINESS_PORT)

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not exited."""
        return self.process is not None and self.process.returncode is None

    @property
    def exited_with_error(self) -> bool:
        """Whether any of the processes exited with an error status.

        False for processes that a signal ended or that exited with 0.
        """
        if self.process is None:
            return False
        return self._had_error or (self.process.returncode or 0) > 0

    async def start(self) -> None:
        """Write the settings file, and start a new process."""
        path = self._folder / f'{self.name}.yaml'
        path.write_bytes(msgspec.json.encode(self._settings()))
        # The child process inherits a copy of the descriptor.
        with self._log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'chivepond.tools.gateway_start',
                '--settings',
                str(path),
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to this process, unless it has exited."""
        if self.is_running:
            # The process may have exited before asyncio collected its status.
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    async def restart(self, number: signal.Signals) -> None:
        """Signal the process, and start a new one once it has exited.

        Overlapping calls for the same process start one new process.
        Otherwise only one of several would be stopped at the end, and the
        others would go on serving.
        """
        process = self.process
        self.send_signal(number)
        await process.wait()
        async with self._restart_lock:
            if self.process is process:
                self._had_error = self.exited_with_error
                await self.start()

    async def wait(self) -> None:
        """Wait until the process exits."""
        await self.process.wait()

    def _settings(self) -> dict[str, object]:
        return {
            'node_id': self.name,
            'data_centre': self._data_centre,
            'region_by_data_centre': {'base': 'coast', 'hub': 'inland'},
            'callers': f'{self._ip}:{_CALLER_PORT}',
            'readiness': f'{self._ip}:{_READINESS_PORT}',
            'peers': f'{self._ip}:{_PEER_PORT}',
            'metrics_port': _METRICS_PORT,
            'store': self._store,
            'stop_grace_s': 6,
            'second_send_burst': SECOND_SEND_BURST,
        } | dict(self._overrides)
