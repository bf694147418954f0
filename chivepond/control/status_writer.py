"""Writes the status of this data centre; reads those of all."""

import asyncio
import dataclasses
import time
from collections.abc import Callable

import result

from chivepond.control import directory, heartbeats, status_board
from chivepond.errors import not_found, problem
from chivepond.object_store import client as platform_client
from chivepond.object_store import kinds
from chivepond.settings import node_settings
from chivepond.wire import (
    aged_status,
    codec,
    data_centre_status,
    deployment_status,
    node_status,
    stored_object,
)

_MIN_WRITE_INTERVAL_S = 2
_MAX_WRITE_INTERVAL_S = 10
#: Twice the longest interval between two writes of a live writer.
_LATE_AFTER_S = 20
#: Limit of the listing; more data centres than any deployment has.
_MAX_DATA_CENTRES = 64
_CHECK_INTERVAL_S = 0.5

_Status = data_centre_status.DataCentreStatus


class StatusWriter:
    """Writes while this node ranks first of the live ones in hash order.

    Each data centre writes to the platform at most every two seconds while
    its status changes, and every ten seconds otherwise.
    """

    __slots__ = (
        '_board',
        '_wall_clock',
        '_directory',
        '_loop_clock',
        '_platform',
        '_read_at',
        '_settings',
        '_statuses',
        '_stored_version',
        '_last_status',
        '_last_write_at',
    )

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        platform: platform_client.PlatformClient,
        hosts: directory.Directory,
        board: status_board.StatusBoard,
        loop_clock: Callable[[], float] = heartbeats.loop_time,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """Write the status from ``board``.

        ``loop_clock`` returns seconds of the event loop clock, ``wall_clock``
        seconds since the epoch.
        """
        self._loop_clock = loop_clock
        self._settings = settings
        self._platform = platform
        self._directory = hosts
        self._board = board
        self._wall_clock = wall_clock
        self._stored_version: int | None = None
        self._last_status: _Status | None = None
        self._last_write_at = float('-inf')
        self._statuses: list[_Status] = []
        self._read_at: float | None = None

    async def run(self) -> None:
        """Write the status whenever it is due, until cancelled."""
        while True:
            await self.step()
            await asyncio.sleep(_CHECK_INTERVAL_S)

    async def step(self) -> None:
        """Write the status once if this node is the writer and it is due.

        Guards against a status that reverts because two nodes take
        themselves for the writer. Writes are conditional on the last known
        version, so that of a node that was paused fails. The status is built
        after that version was read, so that no newer one is overwritten.
        """
        is_writer = self._directory.status_writer() == self._settings.node_id
        if not is_writer or self._since_last_write_s() < _MIN_WRITE_INTERVAL_S:
            return
        if self._stored_version is None:
            await self._read_version()
        status = self._board.summary(self._loop_clock(), self._wall_clock())
        is_due = self._since_last_write_s() >= _MAX_WRITE_INTERVAL_S
        if self._stored_version is not None and (
            is_due or self._has_changed(status)
        ):
            await self._write(status)

    async def show(
        self,
        node: node_status.NodeStatus,
    ) -> deployment_status.DeploymentStatus:
        """Return the status of all data centres.

        If the platform can't be read, returns the last statuses with their
        age, and the error message as ``trouble``.
        """
        error = await self._read_all()
        now = self._wall_clock()
        read_age_s = None if self._read_at is None else now - self._read_at
        return deployment_status.DeploymentStatus(
            node=node,
            data_centres=[_aged(status, now) for status in self._statuses],
            read_age_s=read_age_s,
            trouble=error,
        )

    def _since_last_write_s(self) -> float:
        return self._loop_clock() - self._last_write_at

    def _has_changed(self, status: _Status) -> bool:
        if self._last_status is None:
            return True
        last_written_at = self._last_status.written_at
        return (
            dataclasses.replace(status, written_at=last_written_at)
            != self._last_status
        )

    async def _read_version(self) -> None:
        read_result = await self._platform.read(
            kinds.STATUS,
            self._settings.data_centre,
        )
        match read_result:
            case result.Ok(stored):
                self._stored_version = stored.version
            case result.Err(not_found.NotFound()):
                self._stored_version = 0

    async def _write(self, status: _Status) -> None:
        """Write once; after a failure the next step reads the version again."""
        written = await self._platform.write(
            kinds.STATUS,
            self._settings.data_centre,
            status,
            self._stored_version or 0,
        )
        self._stored_version = written.map_or(None, _version_of)
        self._last_status = status if written.is_ok() else None
        self._last_write_at = self._loop_clock()
        if written.is_ok():
            await self._read_all()

    async def _read_all(self) -> str:
        """Read the statuses of all data centres; return the error or ''."""
        listing = await self._platform.list_kind(
            kinds.STATUS, _MAX_DATA_CENTRES
        )
        match listing:
            case result.Ok(status_list):
                decoded = [
                    codec.decode(_Status, stored.body)
                    for stored in status_list.entries
                ]
                self._statuses = [
                    status.unwrap() for status in decoded if status.is_ok()
                ]
                self._read_at = self._wall_clock()
                return ''
        error: problem.Problem = listing.unwrap_err()
        return error.message


def _aged(status: _Status, now: float) -> aged_status.AgedStatus:
    age_s = max(0, now - status.written_at)
    return aged_status.AgedStatus(status, age_s, is_late=age_s > _LATE_AFTER_S)


def _version_of(stored: stored_object.StoredObject) -> int:
    return stored.version
