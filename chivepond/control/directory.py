"""Who is there: the platform's list, corrected by what was heard."""

import asyncio
from collections.abc import Callable

import result

from chivepond.control import member, object_cache, view
from chivepond.platform import kinds
from chivepond.settings import node_settings
from chivepond.wire import codec, heartbeat, host, host_list, notice

_MS_PER_S = 1000


def _loop_time() -> float:
    return asyncio.get_running_loop().time()


class Directory:
    """The view of this node; serves its own routing only."""

    __slots__ = ('_clock', '_hosts', '_member_by_id', '_settings', 'view')

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        cache: object_cache.ObjectCache,
        clock: Callable[[], float] = _loop_time,
    ) -> None:
        """Follow the platform's list in ``cache``.

        ``clock`` is that of the heartbeats: a list taken in at another
        time would bring nodes back that have been silent for long.
        """
        self._clock = clock
        self._settings = settings
        self._hosts: list[host.Host] = []
        self._member_by_id: dict[str, member.Member] = {}
        self.view = view.View({}, {}, {})
        cache.listen(self._on_notice)

    def peers(self) -> list[host.Host]:
        """Return the other nodes of the platform's list."""
        own = self._settings.node_id
        return [
            one for one in self.view.node_by_id.values() if one.host_id != own
        ]

    def heard(
        self,
        beat: heartbeat.Heartbeat,
        now: float,
        round_trip_s: float = 0,
    ) -> None:
        """Take a sign of life."""
        known = self._member_by_id.get(beat.node_id)
        if known is None:
            known = member.Member(node_id=beat.node_id, heard_at=now)
            self._member_by_id[beat.node_id] = known
        known.heard_at = now
        known.is_leaving = beat.is_leaving
        if round_trip_s:
            known.round_trip_s = round_trip_s
        self.refresh(now)

    def refresh(self, now: float) -> None:
        """Work out who is live at ``now`` seconds."""
        nodes = [one for one in self._hosts if one.role == 'node']
        live: dict[str, list[str]] = {}
        for one in nodes:
            if self._is_live(one, now):
                live.setdefault(one.data_centre, []).append(one.host_id)
        if live == self.view.live_by_data_centre and self.view.node_by_id:
            return
        self._replace(nodes, live)

    def _replace(
        self,
        nodes: list[host.Host],
        live: dict[str, list[str]],
    ) -> None:
        self.view = view.View(
            node_by_id={one.host_id: one for one in nodes},
            searcher_by_id={
                one.host_id: one
                for one in self._hosts
                if one.role == 'searcher'
            },
            live_by_data_centre=live,
        )

    def _is_live(self, one: host.Host, now: float) -> bool:
        if one.host_id == self._settings.node_id:
            return True
        if one.state != 'live':
            return False
        known = self._member_by_id.get(one.host_id)
        if known is None:
            return True
        silent_ms = (now - known.heard_at) * _MS_PER_S
        return (
            not known.is_leaving and silent_ms < self._settings.remove_after_ms
        )

    def _on_notice(self, told: notice.Notice) -> None:
        if told.key != kinds.HOSTS:
            return
        match codec.decode(host_list.HostList, told.body):
            case result.Ok(listed):
                self._hosts = listed.hosts
                self.view = view.View({}, {}, {})
                self.refresh(self._clock())
