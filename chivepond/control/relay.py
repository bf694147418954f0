"""Brings objects from the platform into the cache."""

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
_RELAYS = 2
_RETRY_S = 0.5
_JITTER = 0.5


class Relay:
    """Holds a watch where this node is a relay, else polls now and then.

    Two nodes of a data centre hold a watch, so that calls on the platform
    grow with data centres and not with nodes; the rest learn of news from
    heartbeats. The slow poll covers relays that have gone silent.
    """

    __slots__ = (
        '_after',
        '_cache',
        '_directory',
        '_is_away',
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
        """Bring news from ``platform`` into ``cache``."""
        self._settings = settings
        self._platform = platform
        self._cache = cache
        self._directory = hosts
        self._random = rng
        self._after = 0
        self._is_away = False

    @property
    def is_relay(self) -> bool:
        """Whether this node is one that holds a watch."""
        live = self._directory.view.live_by_data_centre
        mine = live.get(self._settings.data_centre, [])
        chosen = rendezvous.ranked('relay', mine)[:_RELAYS]
        return not chosen or self._settings.node_id in chosen

    async def run(self) -> None:
        """Bring news until cancelled."""
        while True:
            wait_s = self._settings.watch_ms / _MS_PER_S if self.is_relay else 0
            answer = await self.bring(wait_s)
            if answer.is_err():
                await asyncio.sleep(self._jittered(_RETRY_S))
            elif not self.is_relay:
                poll_s = self._settings.poll_ms / _MS_PER_S
                await asyncio.sleep(self._jittered(poll_s))

    async def bring(
        self,
        wait_s: float,
    ) -> result.Result[object_list.ObjectList, problem.Problem]:
        """Fetch what is newer, waiting up to ``wait_s`` seconds for some.

        Guards against a change that is never fetched: what came from peers
        or from own writes may be newer than changes not yet seen, so that
        only the platform's own replies move the place to go on from.
        """
        answer = await self._platform.watch(
            kinds.KEPT,
            self._after,
            wait_s,
        )
        match answer:
            case result.Ok(news):
                self._set_away(is_away=False)
                self._take(news)
            case result.Err(trouble):
                self._set_away(is_away=True, why=str(trouble))
        return answer

    def _take(self, news: object_list.ObjectList) -> None:
        for stored in news.entries:
            self._after = max(self._after, stored.version)
            self._cache.offer(
                notice.Notice(
                    key=f'{stored.kind}/{stored.name}',
                    version=stored.version,
                    body=stored.body,
                ),
            )

    def _set_away(self, *, is_away: bool, why: str = '') -> None:
        if is_away == self._is_away:
            return
        self._is_away = is_away
        if is_away:
            journal.log(events.PLATFORM_AWAY, why=why)
        else:
            journal.log(events.PLATFORM_BACK)

    def _jittered(self, seconds: float) -> float:
        return seconds * (1 + _JITTER * (self._random.random() - _JITTER))
