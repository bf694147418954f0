"""Removes the entries of gateways that are gone for good."""

import asyncio

import msgspec

from chivepond.decisions import departure
from chivepond.gateway import (
    closing,
    outcome,
    peer_message,
    peers,
    replica,
    store_client,
    store_sync,
    telemetry,
)
from chivepond.observe import events
from chivepond.platform import store_calls
from chivepond.transport import address
from chivepond.wire import gateway_entry, sync_message

_CALL_S = 1.0
#: Between two looks at whether this gateway reads for all, in seconds.
_LOOK_S = 2.0
#: How long a probe may take, in seconds.
_REPLY_S = 1.0
_OK = 200
_WRITTEN = frozenset((_OK, 201))
_REMOVED = frozenset((_OK, 202, 204))


class GatewaySweeper(closing.Closing):
    """Probes the others in turn while this gateway reads for all.

    Each write carries the revision of the entry, so that it is lost where the
    gateway came back meanwhile, however long this one stood still.
    """

    __slots__ = (
        '_client',
        '_copy',
        '_peers',
        '_revision_by_id',
        '_sync',
        '_telemetry',
        '_turn',
        'departures',
    )

    def __init__(
        self,
        store: address.Address,
        copy: replica.Replica,
        others: peers.Peers,
        sync: store_sync.StoreSync,
        events_log: telemetry.Telemetry,
    ) -> None:
        """Sweep ``copy``, the list of gateways."""
        self._client = store_client.StoreClient(store)
        self._copy = copy
        self._peers = others
        self._sync = sync
        self._telemetry = events_log
        self.departures = departure.Departures()
        #: The revisions of the entries that this gateway marked.
        self._revision_by_id: dict[str, int] = {}
        self._turn: list[str] = []

    def close(self) -> None:
        """End the connection to the store."""
        self._client.close()

    async def run(self) -> None:
        """Sweep until cancelled."""
        with self:
            while True:
                if self._peers.is_listed and self._sync.source() is None:
                    gateways = self._peers.gateways
                    await asyncio.sleep(departure.probe_pause_s(gateways))
                    await self.probe_next()
                else:
                    await asyncio.sleep(_LOOK_S)

    async def probe_next(self) -> None:
        """Probe one gateway, and act on what came of it."""
        known = self._peers.known()
        if not self._turn:
            self._turn = known
            self.departures.keep(known)
        node_id = self._turn.pop() if self._turn else ''
        if node_id not in known:
            return
        asked = sync_message.SyncRequest({}, 0)
        now = asyncio.get_running_loop().time()
        message = peer_message.sync_message(asked)
        ended = await self._peers.link(node_id).ask(message, now + _REPLY_S)
        match ended:
            case outcome.Reply():
                self.departures.replied(node_id)
                self._revision_by_id.pop(node_id, None)
            case _:
                step = self.departures.failed(node_id, now, len(known) + 1)
                await self.act(step, node_id)

    async def act(self, step: departure.Step, node_id: str) -> None:
        """Mark or remove an entry, as a decision says."""
        match step:
            case departure.Step.MARK:
                await self._mark(node_id)
            case departure.Step.REMOVE:
                await self._remove(node_id)
            case departure.Step.KEEP:
                return

    async def _mark(self, node_id: str) -> None:
        stored = self._copy.find(node_id)
        if stored is None:
            return
        try:
            entry = msgspec.json.decode(
                stored.spec,
                type=gateway_entry.GatewayEntry,
            )
        except msgspec.DecodeError as error:
            self._telemetry.count('sweeps', f'unreadable: {error}')
            return
        entry.suspected_by = self._peers.own_id
        ended = await self._client.put(
            store_calls.object_path(store_calls.GATEWAYS, node_id),
            store_calls.object_body(node_id, entry, stored.meta.revision),
            _CALL_S,
        )
        match ended:
            case outcome.Reply(status=status, body=body) if status in _WRITTEN:
                self._note_mark(node_id, body)
            case _:
                self._telemetry.count('sweeps', 'not marked')

    def _note_mark(self, node_id: str, body: bytes) -> None:
        try:
            stored = msgspec.json.decode(body, type=store_calls.StoredObject)
        except msgspec.DecodeError:
            self._telemetry.count('sweeps', 'unreadable reply')
            return
        self._revision_by_id[node_id] = stored.meta.revision
        now = asyncio.get_running_loop().time()
        self.departures.marked(node_id, now)
        self._telemetry.emit(events.PEER_SUSPECTED, peer=node_id)

    async def _remove(self, node_id: str) -> None:
        revision = self._revision_by_id.pop(node_id, 0)
        self.departures.unmarked(node_id)
        if not revision:
            return
        path = store_calls.object_path(
            store_calls.GATEWAYS,
            node_id,
            revision,
        )
        match await self._client.delete(path, _CALL_S):
            case outcome.Reply(status=status) if status in _REMOVED:
                self._telemetry.emit(events.PEER_REMOVED, peer=node_id)
            case _:
                self._telemetry.count('sweeps', 'not removed')
