"""Fetches updates of the replicas from another gateway."""

import asyncio
from collections.abc import Mapping

import msgspec

from chivepond.gateway import (
    outcome,
    peer_channel,
    peer_message,
    replica,
    telemetry,
    transfer,
    update_packing,
)
from chivepond.observe import events
from chivepond.platform import store_calls
from chivepond.wire import peer_codec, sync_message

#: Time that a reply may take beyond the requested wait, in seconds.
_REPLY_GRACE_S = 0.25
#: Minimum size of an update that is logged, in bytes.
_LARGE_UPDATE_BYTES = 65536
_MS_PER_S = 1000
_OK = 200


async def fetch(
    channel: peer_channel.PeerChannel,
    replica_by_kind: Mapping[str, replica.Replica],
    wait_s: float,
    age_s: float,
    gateway_telemetry: telemetry.Telemetry,
) -> sync_message.SyncReply | None:
    """Update the replicas; return the reply, or none if the request failed.

    The other gateway may delay its reply for ``wait_s`` seconds until it has
    an update, or content notably fresher than the replicas here, which were
    confirmed ``age_s`` seconds ago.
    """
    message = peer_message.sync_message(
        sync_message.SyncRequest(
            {
                kind: known_replica.as_of
                for kind, known_replica in replica_by_kind.items()
            },
            wait_s,
            age_s,
            takes_kept=True,
            takes_packed=True,
        ),
    )
    loop = asyncio.get_running_loop()
    sent_at = loop.time()
    reply = _decode_reply(
        await channel.send(message, sent_at + wait_s + _REPLY_GRACE_S)
    )
    if reply is None:
        gateway_telemetry.count('news', 'failed')
        return None
    gateway_telemetry.count('news', 'taken')
    _log_large(channel.end.name, message.progress, reply, gateway_telemetry)
    _apply(
        reply, replica_by_kind, sent_at, loop.time() - message.progress.took_s
    )
    return reply


def _apply(
    reply: sync_message.SyncReply,
    replica_by_kind: Mapping[str, replica.Replica],
    sent_at: float,
    received_at: float,
) -> None:
    """Apply a reply whose first byte was received at ``received_at``."""
    for kind, kind_replica in replica_by_kind.items():
        update = reply.update_by_kind.get(kind)
        if update is not None:
            kind_replica.apply_update(update)
        # Advances the revision, so that a later watch of the store needs only
        # the history since then.
        kind_replica.apply_changes([], reply.as_of_by_kind.get(kind, 0))
        kind_replica.confirm(received_at - reply.age_s)
        if kind in store_calls.LISTS:
            kind_replica.verify(sent_at - reply.list_age_s)


def _log_large(
    source: str,
    progress: transfer.Transfer,
    reply: sync_message.SyncReply,
    gateway_telemetry: telemetry.Telemetry,
) -> None:
    if progress.received_bytes >= _LARGE_UPDATE_BYTES:
        gateway_telemetry.emit(
            events.LARGE_UPDATE,
            source=source,
            kinds=sorted(reply.update_by_kind),
            received_bytes=progress.received_bytes,
            took_ms=round(progress.took_s * _MS_PER_S),
        )


def _decode_reply(
    call_outcome: outcome.Outcome,
) -> sync_message.SyncReply | None:
    match call_outcome:
        case outcome.Reply(status=status, body=body) if status == _OK:
            reply = peer_codec.decode(body, sync_message.SyncReply).ok()
            return reply and _unpack_reply(reply)
        case _:
            return None


def _unpack_reply(
    reply: sync_message.SyncReply,
) -> sync_message.SyncReply | None:
    try:
        update_by_kind = {
            kind: update_packing.unpack(update)
            for kind, update in reply.update_by_kind.items()
        }
    except msgspec.DecodeError:
        return None
    return sync_message.SyncReply(
        update_by_kind,
        reply.age_s,
        reply.origin,
        reply.as_of_by_kind,
        reply.list_age_s,
    )
