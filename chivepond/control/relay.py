"""Fetches objects from the platform into the cache."""

import asyncio
import random

import result

from chivepond.control import directory, object_cache
from chivepond.decisions import rendezvous
from chivepond.errors import problem
from chivepond.observe import events, journal
from chivepond.object_store import client as platform_client
from chivepond.object_store import kinds
from chivepond.settings import node_settings
from chivepond.wire import notice, object_list

_MS_PER_S = 1000
_RELAYS_PER_DATA_CENTRE = 2
_RETRY_DELAY_S = 0.5
_JITTER = 0.5


class Relay:
    """Watches the platform if this node is a relay, else polls it slowly.

    Only two nodes per data centre watch, so the number of platform calls
    grows with the data centres and not with the nodes; the other nodes get
    updates through heartbeats. The slow poll covers relays that fail
    silently.
    """

    __slots__ = (
        '_last_version',
        '_cache',
        '_directory',
        '_is_unavailable',
        '_platform',
        '_random',
        '_settings',
    )

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        platform: platform_client.PlatformClient,
        cache: object_cache.ObjectCache,
        hosts: directory.Directory,
        rng: random.Random,
    ) -> None:
        """Fetch updates from ``platform`` into ``cache``."""
        self._settings = settings
        self._platform = platform
        self._cache = cache
        self._directory = hosts
        self._random = rng
        self._last_version = 0
        self._is_unavailable = False

    @property
    def is_relay(self) -> bool:
        """Whether this node watches the platform for its data centre.

        True as well if no node of the data centre is known to be live.
        """
        live = self._directory.view.live_by_data_centre
        local_nodes = live.get(self._settings.data_centre, [])
        relays = rendezvous.ranked('relay', local_nodes)[
            :_RELAYS_PER_DATA_CENTRE
        ]
        return not relays or self._settings.node_id in relays

    async def run(self) -> None:
        """Fetch updates until cancelled."""
        while True:
            wait_s = self._settings.watch_ms / _MS_PER_S if self.is_relay else 0
            answer = await self.fetch(wait_s)
            if answer.is_err():
                await asyncio.sleep(self._jittered(_RETRY_DELAY_S))
            elif not self.is_relay:
                poll_s = self._settings.poll_ms / _MS_PER_S
                await asyncio.sleep(self._jittered(poll_s))

    async def fetch(
        self,
        wait_s: float,
    ) -> result.Result[object_list.ObjectList, problem.Problem]:
        """Fetch newer objects, waiting up to ``wait_s`` seconds for some.

        Guards against a change that is never fetched: objects from peers or
        from own writes may be newer than changes not yet fetched, so only
        the platform's replies to this call advance the watch position.
        """
        answer = await self._platform.watch(
            kinds.KEPT,
            self._last_version,
            wait_s,
        )
        match answer:
            case result.Ok(updates):
                self._set_availability(is_unavailable=False)
                self._offer_all(updates)
            case result.Err(error):
                self._set_availability(is_unavailable=True, why=str(error))
        return answer

    def _offer_all(self, updates: object_list.ObjectList) -> None:
        for stored in updates.entries:
            self._last_version = max(self._last_version, stored.version)
            self._cache.offer(
                notice.Notice(
                    key=f'{stored.kind}/{stored.name}',
                    version=stored.version,
                    body=stored.body,
                ),
            )

    def _set_availability(self, *, is_unavailable: bool, why: str = '') -> None:
        if is_unavailable == self._is_unavailable:
            return
        self._is_unavailable = is_unavailable
        if is_unavailable:
            journal.log(events.PLATFORM_AWAY, why=why)
        else:
            journal.log(events.PLATFORM_BACK)

    def _jittered(self, seconds: float) -> float:
        return seconds * (1 + _JITTER * (self._random.random() - _JITTER))
