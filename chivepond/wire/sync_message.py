"""Messages with which gateways replicate the store's objects.

New fields are appended and have defaults, because gateways of two releases
run side by side during a rolling update.
"""

import math

import msgspec


class SyncRequest(msgspec.Struct, array_like=True):
    """Requests the changes that the requester does not have yet."""

    #: Store revision up to which the requester has each kind.
    revision_by_kind: dict[str, int]
    #: Seconds to wait for an update if there is none.
    wait_s: float
    #: Seconds since the store confirmed the requester's copy; none if it never
    #: did.
    age_s: float | None = None
    #: Whether the requester accepts complete lists that only name unchanged
    #: objects, see ``KindUpdate.kept``.
    takes_kept: bool = False
    #: Whether the requester accepts compressed entries.
    takes_packed: bool = False


class ObjectEntry(msgspec.Struct, array_like=True):
    """One object, with ``spec`` as the store returned it."""

    name: str
    revision: int
    spec: bytes


class KindUpdate(msgspec.Struct, array_like=True):
    """The changes of one kind."""

    #: Store revision up to which the update is complete.
    as_of: int
    #: Whether the update lists all objects of the kind, not only changed ones.
    is_whole: bool
    entries: list[ObjectEntry]
    #: Names of deleted objects.
    gone: list[str]
    #: Names of objects in a complete list that the requester has unchanged.
    kept: list[str] = msgspec.field(default_factory=list)
    #: All entries, encoded and compressed with zlib; ``entries`` is then empty.
    packed: bytes = b''


class SyncReply(msgspec.Struct, array_like=True):
    """Updates by kind; kinds without changes are omitted."""

    update_by_kind: dict[str, KindUpdate]
    #: Seconds since the store last confirmed the gateway's copy.
    age_s: float
    #: Gateway that read the objects from the store.
    origin: str = ''
    #: Store revision up to which the gateway has each kind.
    as_of_by_kind: dict[str, int] = msgspec.field(default_factory=dict)
    #: Maximum age of the gateway's lists of gateways and searchers, in seconds;
    #: infinite if it is not known.
    list_age_s: float = math.inf
