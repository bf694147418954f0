"""Writes the status of this data centre, and reads those of all."""

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

_PERIOD_S = 2
_REFRESH_S = 10
#: A writer that is there writes at least every ``_REFRESH_S``.
_LATE_S = 20
#: More data centres than any deployment has.
_MOST = 64
_CHECK_S = 0.5

_Status = data_centre_status.DataCentreStatus


class StatusWriter:
    """Writes while this node is the first live one in hash order.

    Writes on the platform grow with data centres: one every two seconds
    while something changes, else one every ten.
    """

    __slots__ = (
        '_board',
        '_clock',
        '_directory',
        '_now',
        '_platform',
        '_read_at',
        '_settings',
        '_statuses',
        '_version',
        '_written',
        '_written_at',
    )

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        platform: platform_client.PlatformClient,
        hosts: directory.Directory,
        board: status_board.StatusBoard,
        now: Callable[[], float] = heartbeats.loop_time,
        clock: Callable[[], float] = time.time,
    ) -> None:
        """Write what ``board`` has; ``clock`` is that of the world."""
        self._now = now
        self._settings = settings
        self._platform = platform
        self._directory = hosts
        self._board = board
        self._clock = clock
        self._version: int | None = None
        self._written: _Status | None = None
        self._written_at = float('-inf')
        self._statuses: list[_Status] = []
        self._read_at: float | None = None

    async def run(self) -> None:
        """Write when it is due, until cancelled."""
        while True:
            await self.step()
            await asyncio.sleep(_CHECK_S)

    async def step(self) -> None:
        """Write once, if it is this node's turn and time.

        Guards against two writers that undo one another, which shows as a
        status that jumps back: a node that was paused writes on condition
        of the version it knew, and loses. What it writes is put together
        after that version was read, so that no newer one lies between.
        """
        is_writer = self._directory.status_writer() == self._settings.node_id
        if not is_writer or self._since_written_s() < _PERIOD_S:
            return
        if self._version is None:
            await self._learn_version()
        status = self._board.summary(self._now(), self._clock())
        is_due = self._since_written_s() >= _REFRESH_S
        if self._version is not None and (is_due or self._is_news(status)):
            await self._write(status)

    async def show(
        self,
        node: node_status.NodeStatus,
    ) -> deployment_status.DeploymentStatus:
        """Return what all data centres wrote, as fresh as can be had."""
        trouble = await self._read_all()
        now = self._clock()
        read_age_s = None if self._read_at is None else now - self._read_at
        return deployment_status.DeploymentStatus(
            node=node,
            data_centres=[_aged(one, now) for one in self._statuses],
            read_age_s=read_age_s,
            trouble=trouble,
        )

    def _since_written_s(self) -> float:
        return self._now() - self._written_at

    def _is_news(self, status: _Status) -> bool:
        if self._written is None:
            return True
        told = self._written.written_at
        return dataclasses.replace(status, written_at=told) != self._written

    async def _learn_version(self) -> None:
        found = await self._platform.read(
            kinds.STATUS,
            self._settings.data_centre,
        )
        match found:
            case result.Ok(stored):
                self._version = stored.version
            case result.Err(not_found.NotFound()):
                self._version = 0

    async def _write(self, status: _Status) -> None:
        """Write once; after any failure read again before the next write."""
        written = await self._platform.write(
            kinds.STATUS,
            self._settings.data_centre,
            status,
            self._version or 0,
        )
        self._version = written.map_or(None, _version)
        self._written = status if written.is_ok() else None
        self._written_at = self._now()
        if written.is_ok():
            await self._read_all()

    async def _read_all(self) -> str:
        """Read what all wrote; return what was wrong, if anything was."""
        listed = await self._platform.list_kind(kinds.STATUS, _MOST)
        match listed:
            case result.Ok(found):
                read = [
                    codec.decode(_Status, one.body) for one in found.entries
                ]
                self._statuses = [one.unwrap() for one in read if one.is_ok()]
                self._read_at = self._clock()
                return ''
        trouble: problem.Problem = listed.unwrap_err()
        return trouble.message


def _aged(status: _Status, now: float) -> aged_status.AgedStatus:
    age_s = max(0, now - status.written_at)
    return aged_status.AgedStatus(status, age_s, is_late=age_s > _LATE_S)


def _version(stored: stored_object.StoredObject) -> int:
    return stored.version
