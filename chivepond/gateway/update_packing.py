"""Compresses large updates once for all gateways that ask for them."""

import zlib
from collections.abc import Iterable

import msgspec

from chivepond.wire import sync_message

#: Smaller updates are sent as they are, in bytes.
_LEAST_BYTES = 8192
#: The fastest level: names and paths that repeat are nearly all that is saved.
_LEVEL = 1
#: The largest content that is unpacked, in bytes.
_MOST_BYTES = 33554432
#: How many packed updates of one kind are kept: followers differ little in
#: what they know.
_KEPT = 8

_Key = tuple[str, int, int, bool]


class UpdatePacker:
    """Packs updates, and keeps the newest of them packed."""

    __slots__ = ('_packed_by_key',)

    def __init__(self) -> None:
        """Keep nothing yet."""
        self._packed_by_key: dict[_Key, sync_message.KindUpdate] = {}

    def pack(
        self,
        kind: str,
        since: int,
        update: sync_message.KindUpdate,
    ) -> sync_message.KindUpdate:
        """Return the update of ``kind`` from ``since`` on, packed if large."""
        if _size(update.entries) < _LEAST_BYTES:
            return update
        key = (kind, since, update.as_of, bool(update.kept))
        packed = self._packed_by_key.get(key)
        if packed is None:
            packed = _packed(update)
            self._keep(key, packed)
        return packed

    def _keep(self, key: _Key, packed: sync_message.KindUpdate) -> None:
        kind, _, as_of, _ = key
        for known in list(self._packed_by_key):
            if known[0] == kind and known[2] != as_of:
                self._packed_by_key.pop(known)
        same = [known for known in self._packed_by_key if known[0] == kind]
        if len(same) >= _KEPT:
            self._packed_by_key.pop(same[0])
        self._packed_by_key[key] = packed


def unpack(update: sync_message.KindUpdate) -> sync_message.KindUpdate:
    """Return an update with its entries, or raise ``msgspec.DecodeError``."""
    if not update.packed:
        return update
    unpacker = zlib.decompressobj()
    try:
        plain = unpacker.decompress(update.packed, _MOST_BYTES)
    except zlib.error as error:
        raise msgspec.DecodeError(str(error)) from error
    if not unpacker.eof:
        raise msgspec.DecodeError('packed entries that are cut off')
    entries = msgspec.msgpack.decode(
        plain,
        type=list[sync_message.ObjectEntry],
    )
    return msgspec.structs.replace(update, entries=entries, packed=b'')


def _packed(update: sync_message.KindUpdate) -> sync_message.KindUpdate:
    plain = msgspec.msgpack.encode(update.entries)
    packed = zlib.compress(plain, _LEVEL)
    return msgspec.structs.replace(update, entries=[], packed=packed)


def _size(entries: Iterable[sync_message.ObjectEntry]) -> int:
    return sum(len(entry.spec) for entry in entries)
