"""The other gateways: their addresses, channels and health."""

import asyncio
import collections
import random
from collections.abc import Iterable, Iterator

from chivepond.decisions import (
    aggregator_selection,
    burst_share,
    round_trip,
    switches,
    sync_source,
    upstream_health,
    upstream_share,
    usual_latency,
)
from chivepond.gateway import (
    closeable,
    health_log,
    peer_channel,
    peer_endpoint,
    peer_record,
    reply_buffers,
    telemetry,
)
from chivepond.observe import events
from chivepond.settings import mechanism
from chivepond.transport import address
from chivepond.wire import gateway_entry

#: The most connections to one gateway; each carries one gather at a time.
_MAX_CONNECTIONS = 8
#: The number of concurrent gathers at which the expected latency of a gateway
#: doubles.
_GATHER_SLOTS = 8
#: Consecutive failures after which a gateway is ejected: each failure loses a
#: whole group of shards, and this gateway can query the searchers itself.
_FAILURES_BEFORE_DISTRUST = 1
#: Seconds to read and merge the reply of a group on a slow host.
_REPLY_MERGE_S = 0.004
#: The connect time-out in seconds, a few times the round trip between any two
#: gateways. A host without power does not reply at all; after the time-out
#: this gateway queries its shards itself.
_CONNECT_TIMEOUT_S = 0.1
#: The idle time-out in seconds of connections to other gateways; it is shorter
#: than that of the remote end.
_IDLE_TIMEOUT_S = 100.0


class Peers(closeable.Closeable):
    """Channels to the other gateways by name."""

    __slots__ = (
        '_health_log',
        '_is_listed',
        '_channel_by_id',
        '_link_mbps',
        '_listed',
        '_own_data_centre',
        '_record_by_id',
        '_round_trip_by_id',
        '_seed_channels',
        '_settled_since',
        '_shares',
        '_switches',
        '_telemetry',
        'is_seed',
        'own_address',
        'own_id',
        'reply_buffers',
    )

    def __init__(
        self,
        own_record: peer_record.PeerRecord,
        gateway_telemetry: telemetry.Telemetry,
        seeds: Iterable[address.Address],
        mechanism_switches: switches.Switches,
        *,
        is_seed: bool = True,
    ) -> None:
        """Start with the addresses in ``seeds``, which may be stale."""
        #: The memory of replies in progress, if it is limited.
        self.reply_buffers: reply_buffers.ReplyBuffers | None = None
        #: Whether other gateways use this one as a seed.
        self.is_seed = is_seed
        self.own_id = own_record.node_id
        self._own_data_centre = own_record.data_centre
        self._switches = mechanism_switches
        self._is_listed = False
        #: The address that this gateway is registered with.
        self.own_address = str(own_record.address)
        #: Since when the listed entry of this gateway has been settled, in
        #: seconds on the loop's clock; none while it is not.
        self._settled_since: float | None = None
        self._listed: burst_share.Listed | None = None
        self._link_mbps = own_record.link_mbps
        self._telemetry = gateway_telemetry
        self._health_log = health_log.of_peers(gateway_telemetry)
        self._seed_channels = [
            self._channel(
                peer_record.PeerRecord(str(seed_address), seed_address, '', 0)
            )
            for seed_address in seeds
        ]
        self._round_trip_by_id: dict[str, round_trip.RoundTrip] = {}
        self._record_by_id: dict[str, peer_record.PeerRecord] = {}
        self._channel_by_id: dict[str, peer_channel.PeerChannel] = {}
        self._shares: upstream_share.Shares | None = None

    def close(self) -> None:
        """Close all channels."""
        for node_id in self.node_ids():
            self.remove(node_id)

    @property
    def gateways(self) -> int:
        """The number of registered gateways, this one included."""
        return len(self._record_by_id) + 1

    @property
    def is_listed(self) -> bool:
        """Whether the store's list of gateways has been read."""
        return self._is_listed

    @property
    def shares(self) -> upstream_share.Shares:
        """The shares of upstream limits among the registered gateways."""
        is_even = not self._switches.is_on(mechanism.Mechanism.UNEVEN_BUDGET)
        if self._shares is None or self._shares.is_even != is_even:
            others = [
                upstream_share.Gateway(
                    node_id,
                    record.data_centre,
                    record.link_mbps,
                )
                for node_id, record in self._record_by_id.items()
            ]
            self._shares = upstream_share.Shares(
                upstream_share.Gateway(
                    self.own_id,
                    self._own_data_centre,
                    self._link_mbps,
                ),
                others,
                is_even=is_even,
            )
        return self._shares

    def set_own_entry(self, entry: gateway_entry.GatewayEntry | None) -> None:
        """Set the entry of this gateway in the list; none if it lacks one."""
        # Another entry belongs to an earlier process, or to one that runs under
        # the same identifier.
        settled = gateway_entry.GatewayEntry(
            self.own_address,
            self._own_data_centre,
            self._link_mbps,
            is_settled=True,
        )
        if entry != settled:
            self._settled_since = None
        elif self._settled_since is None:
            self._settled_since = asyncio.get_running_loop().time()

    @property
    def settled_since(self) -> float | None:
        """Since when the listed entry of this gateway has been settled.

        In seconds on the loop's clock; none while it is not.
        """
        return self._settled_since

    @property
    def listed(self) -> burst_share.Listed:
        """The listed gateways, as a burst is divided among them."""
        if self._listed is None:
            weights: dict[str, float] = collections.defaultdict(float)
            weights[self._own_data_centre] = burst_share.link_weight(
                self._link_mbps
            )
            for record in self._record_by_id.values():
                weights[record.data_centre] += burst_share.link_weight(
                    record.link_mbps
                )
            self._listed = burst_share.Listed(
                self._link_mbps, self._own_data_centre, weights
            )
        return self._listed

    def mark_listed(self) -> None:
        """Record that the store's list of gateways has been read."""
        self._is_listed = True

    def node_ids(self) -> list[str]:
        """Return the node identifiers of the other gateways."""
        return list(self._record_by_id)

    def put(self, record: peer_record.PeerRecord) -> None:
        """Add a gateway, or replace its channel if its record has changed."""
        node_id = record.node_id
        if node_id == self.own_id or self._record_by_id.get(node_id) == record:
            return
        self.remove(node_id)
        self._shares = None
        self._listed = None
        self._record_by_id[node_id] = record
        self._channel_by_id[node_id] = self._channel(record)
        self._telemetry.emit(
            events.PEER_LEARNED,
            peer=node_id,
            address=str(record.address),
        )

    def remove(self, node_id: str) -> None:
        """Remove a gateway and close its channel."""
        if self._record_by_id.pop(node_id, None) is not None:
            self._shares = None
            self._listed = None
            self._round_trip_by_id.pop(node_id, None)
            self._channel_by_id.pop(node_id).close()
            self._telemetry.emit(events.PEER_GONE, peer=node_id)

    def channel(self, node_id: str) -> peer_channel.PeerChannel:
        """Return the channel to a known gateway, or raise ``KeyError``."""
        return self._channel_by_id[node_id]

    @property
    def own_member(self) -> sync_source.Member:
        """This gateway as a candidate for reading from the store."""
        return sync_source.Member(
            self._own_data_centre, self.own_id, self._link_mbps
        )

    def usable_members(self) -> Iterator[sync_source.Member]:
        """Yield the other gateways whose channels are usable."""
        now = asyncio.get_running_loop().time()
        for node_id, record in self._record_by_id.items():
            if _is_usable(self._channel_by_id[node_id], now):
                yield sync_source.Member(
                    record.data_centre,
                    node_id,
                    record.link_mbps,
                )

    def choose_usable(
        self, preferred: str = ''
    ) -> peer_channel.PeerChannel | None:
        """Return the channel to ``preferred`` if usable, else to a random one.

        Seeds are included. Falls back to an unusable one when none is usable.
        """
        now = asyncio.get_running_loop().time()
        preferred_channel = self._channel_by_id.get(preferred)
        if preferred_channel is not None and _is_usable(preferred_channel, now):
            return preferred_channel
        all_channels = [*self._channel_by_id.values(), *self._seed_channels]
        usable = [
            channel for channel in all_channels if _is_usable(channel, now)
        ]
        return random.choice(usable or all_channels) if all_channels else None

    def round_trip_estimate_s(self, node_id: str) -> float:
        """Return a high estimate of the round trip to a gateway in seconds.

        It includes the time to merge its reply.
        """
        peer_round_trip = (
            self._round_trip_by_id.get(node_id) or round_trip.RoundTrip()
        )
        return peer_round_trip.upper_estimate_s + _REPLY_MERGE_S

    def record_round_trip(self, node_id: str, round_trip_s: float) -> None:
        """Record the round trip of one exchange, the remote work excluded."""
        peer_round_trip = self._round_trip_by_id.setdefault(
            node_id, round_trip.RoundTrip()
        )
        peer_round_trip.learn(round_trip_s)

    def aggregator_data_centres(self) -> frozenset[str]:
        """Return the data centres with a usable aggregator.

        The own one is included if a gateway in it has a link that is wide
        enough to be worth the extra hop.
        """
        now = asyncio.get_running_loop().time()
        return frozenset(
            record.data_centre
            for node_id, record in self._record_by_id.items()
            if _is_usable(self._channel_by_id[node_id], now)
            and self._can_aggregate(record)
        )

    def choose_aggregator(
        self, data_centre: str
    ) -> peer_channel.PeerChannel | None:
        """Return the channel to an aggregator in a data centre, if any."""
        return self._choose_among(
            record
            for record in self._record_by_id.values()
            if record.data_centre == data_centre and self._can_aggregate(record)
        )

    def choose_holder(
        self,
        holders: upstream_share.Holders,
        tried: set[str],
    ) -> peer_channel.PeerChannel | None:
        """Return the channel to a holder that was not tried yet, if any.

        Prefers holders in the data centres of the searchers.
        """
        untried = [
            self._record_by_id[node_id]
            for node_id in holders.node_ids
            if node_id in self._record_by_id and node_id not in tried
        ]
        nearby = [
            record
            for record in untried
            if record.data_centre in holders.data_centres
        ]
        return self._choose_among(nearby) or self._choose_among(untried)

    def _choose_among(
        self,
        records: Iterable[peer_record.PeerRecord],
    ) -> peer_channel.PeerChannel | None:
        now = asyncio.get_running_loop().time()
        aggregators = []
        for record in records:
            channel = self._channel_by_id[record.node_id]
            if _is_usable(channel, now):
                aggregators.append(
                    aggregator_selection.Aggregator(
                        record.node_id,
                        record.link_mbps,
                        channel.health.expected_s(now),
                        is_warm=channel.is_warm,
                    ),
                )
        chosen = aggregator_selection.choose(aggregators, random.random)
        return chosen and self._channel_by_id[chosen.node_id]

    def _channel(
        self, record: peer_record.PeerRecord
    ) -> peer_channel.PeerChannel:
        return peer_channel.PeerChannel(
            peer_endpoint.PeerEndpoint(
                record.node_id,
                record.address,
                slots=_GATHER_SLOTS,
                failures=_FAILURES_BEFORE_DISTRUST,
                connect_s=_CONNECT_TIMEOUT_S,
                idle_s=_IDLE_TIMEOUT_S,
                buffers=self.reply_buffers,
            ),
            _MAX_CONNECTIONS,
            self._health_log,
            usual_latency.UsualLatency(),
        )

    def _can_aggregate(self, record: peer_record.PeerRecord) -> bool:
        if record.data_centre != self._own_data_centre:
            return True
        return aggregator_selection.is_wider(record.link_mbps, self._link_mbps)


def _is_usable(channel: peer_channel.PeerChannel, now: float) -> bool:
    return channel.health.state(now) in {
        upstream_health.HealthState.USABLE,
        upstream_health.HealthState.ON_TRIAL,
    }
