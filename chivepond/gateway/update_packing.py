"""Compresses large updates once for all gateways that request them."""

import zlib
from collections.abc import Iterable

import msgspec
import result

from chivepond.wire import peer_codec, sync_message

#: Minimum size of an update that is compressed, in bytes.
_MIN_PACKED_BYTES = 8192
#: The fastest level: nearly all savings come from repeated names and paths.
_ZLIB_LEVEL = 1
#: Maximum size of decompressed entries, in bytes.
_MAX_UNPACKED_BYTES = 33554432
#: Maximum number of cached updates per kind; few are needed, as the followers'
#: revisions differ little.
_MAX_CACHED = 8

_CacheKey = tuple[str, int, int, bool]


class UpdatePacker:
    """Compresses updates, and caches those of the newest revision."""

    __slots__ = ('_packed_by_key',)

    def __init__(self) -> None:
        """Start with an empty cache."""
        self._packed_by_key: dict[_CacheKey, sync_message.KindUpdate] = {}

    def pack(
        self,
        kind: str,
        since: int,
        update: sync_message.KindUpdate,
    ) -> sync_message.KindUpdate:
        """Return ``update``, which starts at ``since``, compressed if large."""
        if _spec_bytes(update.entries) < _MIN_PACKED_BYTES:
            return update
        key = (kind, since, update.as_of, bool(update.kept))
        packed = self._packed_by_key.get(key)
        if packed is None:
            packed = _compress(update)
            self._cache(key, packed)
        return packed

    def _cache(self, key: _CacheKey, packed: sync_message.KindUpdate) -> None:
        kind, _, as_of, _ = key
        for cached_key in list(self._packed_by_key):
            if cached_key[0] == kind and cached_key[2] != as_of:
                self._packed_by_key.pop(cached_key)
        same_kind = [
            cached_key
            for cached_key in self._packed_by_key
            if cached_key[0] == kind
        ]
        if len(same_kind) >= _MAX_CACHED:
            self._packed_by_key.pop(same_kind[0])
        self._packed_by_key[key] = packed


def unpack(update: sync_message.KindUpdate) -> sync_message.KindUpdate:
    """Return the update with its entries decompressed.

    Raises ``msgspec.DecodeError`` where they can't be decoded, are truncated,
    or exceed the maximum size.
    """
    if not update.packed:
        return update
    decompressor = zlib.decompressobj()
    try:
        encoded = decompressor.decompress(update.packed, _MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise msgspec.DecodeError(str(error)) from error
    if not decompressor.eof:
        raise msgspec.DecodeError('packed entries are truncated or too large')
    match peer_codec.decode(encoded, list[sync_message.ObjectEntry]):
        case result.Ok(entries):
            return msgspec.structs.replace(update, entries=entries, packed=b'')
        case failure:
            raise msgspec.DecodeError(failure.unwrap_err().message)


def _compress(update: sync_message.KindUpdate) -> sync_message.KindUpdate:
    encoded = msgspec.msgpack.encode(update.entries)
    packed = zlib.compress(encoded, _ZLIB_LEVEL)
    return msgspec.structs.replace(update, entries=[], packed=packed)


def _spec_bytes(entries: Iterable[sync_message.ObjectEntry]) -> int:
    return sum(len(entry.spec) for entry in entries)
