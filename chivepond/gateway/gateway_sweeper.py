"""Removes the store entries of gateways that no longer respond."""

import asyncio

from chivepond.decisions import gateway_removal
from chivepond.gateway import (
    closeable,
    outcome,
    peer_message,
    peers,
    replica,
    store_client,
    store_sync,
    telemetry,
)
from chivepond.observe import events
from chivepond.platform import store_calls, store_codec
from chivepond.transport import address
from chivepond.wire import gateway_entry, sync_message

_CALL_TIMEOUT_S = 1.0
#: Interval between checks whether this gateway is to sweep, in seconds.
_IDLE_CHECK_S = 2.0
#: Timeout of a probe, in seconds.
_PROBE_TIMEOUT_S = 1.0
_OK = 200
_WRITE_STATUSES = frozenset((_OK, 201))
_DELETE_STATUSES = frozenset((_OK, 202, 204))


class GatewaySweeper(closeable.Closeable):
    """Probes the other gateways in turn while this one reads the store.

    Each write is conditional on the revision of the entry, so the store
    rejects it if the probed gateway has re-registered in the meantime, even
    after a long pause of this process.
    """

    __slots__ = (
        '_client',
        '_gateway_replica',
        '_peer_gateways',
        '_marked_revision_by_id',
        '_sync',
        '_telemetry',
        '_probe_queue',
        'probe_tracker',
    )

    def __init__(
        self,
        store: address.Address,
        gateway_replica: replica.Replica,
        peer_gateways: peers.Peers,
        sync: store_sync.StoreSync,
        gateway_telemetry: telemetry.Telemetry,
    ) -> None:
        """Sweep the list of gateways in ``gateway_replica``."""
        self._client = store_client.StoreClient(store)
        self._gateway_replica = gateway_replica
        self._peer_gateways = peer_gateways
        self._sync = sync
        self._telemetry = gateway_telemetry
        self.probe_tracker = gateway_removal.ProbeTracker()
        #: Revisions of the entries that this gateway marked, by node ID.
        self._marked_revision_by_id: dict[str, int] = {}
        self._probe_queue: list[str] = []

    def close(self) -> None:
        """Close the connection to the store."""
        self._client.close()

    async def run(self) -> None:
        """Sweep until cancelled."""
        with self:
            while True:
                if (
                    self._peer_gateways.is_listed
                    and self._sync.followed_gateway() is None
                ):
                    gateways = self._peer_gateways.gateways
                    await asyncio.sleep(gateway_removal.probe_pause_s(gateways))
                    await self.probe_next()
                else:
                    await asyncio.sleep(_IDLE_CHECK_S)

    async def probe_next(self) -> None:
        """Probe one gateway, and mark or remove its entry if it is down."""
        peer_ids = self._peer_gateways.node_ids()
        if not self._probe_queue:
            self._probe_queue = peer_ids
            self.probe_tracker.retain(peer_ids)
        node_id = self._probe_queue.pop() if self._probe_queue else ''
        if node_id not in peer_ids:
            return
        probe = sync_message.SyncRequest({}, 0)
        now = asyncio.get_running_loop().time()
        message = peer_message.sync_message(probe)
        call_outcome = await self._peer_gateways.channel(node_id).send(
            message, now + _PROBE_TIMEOUT_S
        )
        match call_outcome:
            case outcome.Reply():
                self.probe_tracker.replied(node_id)
                self._marked_revision_by_id.pop(node_id, None)
            case _:
                step = self.probe_tracker.failed(
                    node_id, now, len(peer_ids) + 1
                )
                await self.apply_step(step, node_id)

    async def apply_step(
        self, step: gateway_removal.Step, node_id: str
    ) -> None:
        """Mark or remove the entry of a gateway, or leave it."""
        match step:
            case gateway_removal.Step.MARK:
                await self._mark(node_id)
            case gateway_removal.Step.REMOVE:
                await self._remove(node_id)
            case gateway_removal.Step.KEEP:
                return

    async def _mark(self, node_id: str) -> None:
        stored = self._gateway_replica.find(node_id)
        if stored is None:
            return
        entry = store_codec.decode(stored.spec, gateway_entry.GatewayEntry).ok()
        if entry is None:
            self._telemetry.count('sweeps', 'unreadable entry')
            return
        entry.suspected_by = self._peer_gateways.own_id
        call_outcome = await self._client.put(
            store_calls.object_path(store_calls.GATEWAY_KIND, node_id),
            store_calls.object_body(node_id, entry, stored.meta.revision),
            _CALL_TIMEOUT_S,
        )
        match call_outcome:
            case outcome.Reply(status=status, body=body) if (
                status in _WRITE_STATUSES
            ):
                self._record_mark(node_id, body)
            case _:
                self._telemetry.count('sweeps', 'not marked')

    def _record_mark(self, node_id: str, body: bytes) -> None:
        stored = store_codec.decode(body, store_calls.StoredObject).ok()
        if stored is None:
            self._telemetry.count('sweeps', 'unreadable reply')
            return
        self._marked_revision_by_id[node_id] = stored.meta.revision
        now = asyncio.get_running_loop().time()
        self.probe_tracker.marked(node_id, now)
        self._telemetry.emit(events.PEER_SUSPECTED, peer=node_id)

    async def _remove(self, node_id: str) -> None:
        revision = self._marked_revision_by_id.pop(node_id, 0)
        self.probe_tracker.unmarked(node_id)
        if not revision:
            return
        path = store_calls.object_path(
            store_calls.GATEWAY_KIND,
            node_id,
            revision,
        )
        match await self._client.delete(path, _CALL_TIMEOUT_S):
            case outcome.Reply(status=status) if status in _DELETE_STATUSES:
                self._telemetry.emit(events.PEER_REMOVED, peer=node_id)
            case _:
                self._telemetry.count('sweeps', 'not removed')
