"""One node's control parts, as the cost tools run them."""

import random
import time

from chivepond.control import (
    configuration,
    directory,
    heartbeats,
    object_cache,
    status_board,
)
from chivepond.entry import peers
from chivepond.object_store import kinds
from chivepond.settings import node_settings
from chivepond.wire import codec, host, host_list, notice

_DATA_CENTRES = 9


class FleetMember:
    """Heartbeats, members, view and status of a node, without servers."""

    __slots__ = ('beats', 'cache', 'directory', 'host')

    def __init__(self, one: host.Host, listed_hosts: notice.Notice) -> None:
        """Know the whole list from the start."""
        settings = settings_of(one, '')
        self.host = one
        self.cache = object_cache.ObjectCache()
        self.directory = directory.Directory(settings, self.cache, time.time)
        board = status_board.StatusBoard(
            settings,
            configuration.Configuration(self.cache),
            self.directory,
            dict,
        )
        self.beats = heartbeats.Heartbeats(
            settings,
            self.cache,
            board,
            self.directory,
            peers.Peers(self.directory),
            random.Random(one.host_id),
            time.time,
        )
        self.cache.offer(listed_hosts)


def settings_of(one: host.Host, secret: str) -> node_settings.NodeSettings:
    """Return the settings of a node of the fleet."""
    return node_settings.NodeSettings(
        node_id=one.host_id,
        data_centre=one.data_centre,
        region=one.region,
        callers='',
        peers='',
        operators='',
        platform='',
        secret=secret,
    )


def listed(hosts: list[host.Host]) -> notice.Notice:
    """Return the platform's list of some hosts."""
    raw = codec.to_raw(host_list.HostList(1, hosts))
    return notice.Notice(kinds.HOSTS, 1, raw)


def host_of(number: int) -> host.Host:
    """Return a node of the fleet, in one of the data centres in turn."""
    where = f'dc-{number % _DATA_CENTRES}'
    return host.Host(
        host_id=f'node-{number}',
        role='node',
        data_centre=where,
        region=where,
        address=f'10.0.0.1:{number}',
    )
