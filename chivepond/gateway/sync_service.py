"""Serves the replicas to the gateways that follow this one."""

import asyncio
import contextlib
from collections.abc import Mapping

from chivepond.decisions import sync_source
from chivepond.gateway import replica, update_packing
from chivepond.platform import store_calls
from chivepond.wire import sync_message


class SyncService:
    """Replies to long polls of other gateways with updates."""

    __slots__ = (
        '_changed',
        '_max_age_s',
        '_packer',
        'origin',
        'replica_by_kind',
    )

    def __init__(
        self,
        replica_by_kind: Mapping[str, replica.Replica],
        changed: asyncio.Event,
        own_id: str,
        bound_s: float,
    ) -> None:
        """Serve the replicas; ``changed`` is set at each update of one.

        Updates must become active within ``bound_s`` seconds.
        """
        self._max_age_s = sync_source.source_age_s(bound_s)
        self.replica_by_kind = replica_by_kind
        self._changed = changed
        self._packer = update_packing.UpdatePacker()
        #: ID of the gateway that read the replicated content from the store.
        self.origin = own_id

    async def serve(
        self,
        request: sync_message.SyncRequest,
    ) -> sync_message.SyncReply:
        """Return the updates that the follower lacks.

        Waits for an update for as long as the request allows, but no longer
        than the content here stays fresh, so that followers of a gateway that
        can't reach the store switch to another one at once. The reply has no
        updates when the wait ends without any.
        """
        loop = asyncio.get_running_loop()
        received_at = loop.time()
        deadline = received_at + request.wait_s
        reply = self._make_reply(request)
        if reply.age_s < self._max_age_s:
            deadline = min(
                deadline, received_at + self._max_age_s - reply.age_s
            )
        while loop.time() < deadline and not _should_reply(
            request, reply, received_at
        ):
            self._changed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(deadline):
                    await self._changed.wait()
            reply = self._make_reply(request)
        return reply

    def _make_reply(
        self,
        request: sync_message.SyncRequest,
    ) -> sync_message.SyncReply:
        now = asyncio.get_running_loop().time()
        replicas = self.replica_by_kind.values()
        return sync_message.SyncReply(
            self._updates_for(request),
            max(kind_replica.age_s(now) for kind_replica in replicas),
            self.origin,
            {
                kind: kind_replica.as_of
                for kind, kind_replica in self.replica_by_kind.items()
            },
            max(
                now - self.replica_by_kind[kind].list_age.verified_at
                for kind in store_calls.LISTS
            ),
        )

    def _updates_for(
        self,
        request: sync_message.SyncRequest,
    ) -> dict[str, sync_message.KindUpdate]:
        updates = {}
        for kind, since in request.revision_by_kind.items():
            kind_replica = self.replica_by_kind.get(kind)
            update = kind_replica and kind_replica.update_since(
                since, may_omit_unchanged=request.takes_kept
            )
            if update is None:
                continue
            if request.takes_packed:
                update = self._packer.pack(kind, since, update)
            updates[kind] = update
        return updates


def _should_reply(
    request: sync_message.SyncRequest,
    reply: sync_message.SyncReply,
    received_at: float,
) -> bool:
    if reply.update_by_kind:
        return True
    if request.age_s is None:
        return False
    waited_s = asyncio.get_running_loop().time() - received_at
    follower_age_s = request.age_s + waited_s
    return sync_source.is_fresher(reply.age_s, follower_age_s, request.wait_s)
