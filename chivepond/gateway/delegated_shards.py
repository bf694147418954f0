"""Shards that this gateway may not connect to, asked of one that may."""

from collections.abc import Iterable

from chivepond.decisions import upstream_share
from chivepond.gateway import group_request, shard_requests


class DelegatedShards:
    """Asks from here where that is allowed, and through others elsewhere."""

    __slots__ = ('_asks', '_tried', '_work')

    def __init__(
        self,
        work: group_request.SearchWork,
        asks: shard_requests.ShardRequests,
    ) -> None:
        """Collect through ``asks``."""
        self._work = work
        self._asks = asks
        #: Gateways that were asked for shards that may not be asked from here.
        self._tried: set[str] = set()

    def ask(self, shards: Iterable[str]) -> None:
        """Begin to ask each of ``shards``, here or elsewhere."""
        shares = self._work.tools.searchers.shares
        here: list[str] = []
        shards_by_holders: dict[upstream_share.Holders, list[str]] = {}
        for shard in shards:
            if shares.connections(shard):
                here.append(shard)
            else:
                holders = shares.holders(shard)
                shards_by_holders.setdefault(holders, []).append(shard)
        self._asks.ask_from_here(here, self._work.search)
        for holders, group in shards_by_holders.items():
            self._delegate(holders, group)

    def _delegate(
        self, holders: upstream_share.Holders, shards: list[str]
    ) -> None:
        link = self._work.others.choose_holder(holders, self._tried)
        if link is None:
            for shard in shards:
                self._work.parts.miss(
                    shard,
                    'no gateway that may connect can be reached',
                    has_run=False,
                )
            return
        self._tried.add(link.end.name)
        self._asks.ask_group(
            group_request.GroupRequest(
                self._work, link, shards, self._asks, self.ask
            ),
        )
