"""Requests shards directly, or through gateways that have connections."""

from collections.abc import Iterable

from chivepond.decisions import upstream_share
from chivepond.gateway import group_request, shard_requests


class DelegatedShards:
    """Requests shards here if this gateway may connect, or delegates them.

    A shard whose connection cap leaves this gateway no connection is requested
    through a gateway that holds one.
    """

    __slots__ = ('_requests', '_tried_gateways', '_context')

    def __init__(
        self,
        context: group_request.SearchContext,
        requests: shard_requests.ShardRequests,
    ) -> None:
        """Start the requests in ``requests``, which collects their results."""
        self._context = context
        self._requests = requests
        #: Gateways to which shards have been delegated.
        self._tried_gateways: set[str] = set()

    def start(self, shards: Iterable[str]) -> None:
        """Start requests for ``shards``, directly or through other gateways."""
        self._start(shards, is_moved=False)

    def start_moved(self, shards: Iterable[str]) -> None:
        """Start requests that another gateway reported as not sent."""
        self._start(shards, is_moved=True)

    def _start(self, shards: Iterable[str], *, is_moved: bool) -> None:
        shares = self._context.request_context.searchers.shares
        direct_shards: list[str] = []
        shards_by_holders: dict[upstream_share.Holders, list[str]] = {}
        for shard in shards:
            if shares.connections(shard):
                direct_shards.append(shard)
            else:
                holders = shares.holders(shard)
                shards_by_holders.setdefault(holders, []).append(shard)
        self._requests.start_direct(
            direct_shards, self._context.search, is_moved=is_moved
        )
        for holders, delegated in shards_by_holders.items():
            self._delegate(holders, delegated)

    def _delegate(
        self, holders: upstream_share.Holders, shards: list[str]
    ) -> None:
        channel = self._context.others.choose_holder(
            holders, self._tried_gateways
        )
        if channel is None:
            for shard in shards:
                self._context.shard_results.mark_missing(
                    shard,
                    'no gateway with connections to the shard is reachable',
                    has_run=False,
                )
            return
        self._tried_gateways.add(channel.end.name)
        self._requests.start_group(
            group_request.GroupRequest(
                self._context,
                channel,
                shards,
                self._requests,
                self.start_moved,
            ),
        )
