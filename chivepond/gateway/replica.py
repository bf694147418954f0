"""A replica of one kind of object, updated by the store and by peers."""

import asyncio
import dataclasses
from collections.abc import Callable, Iterator

from chivepond.decisions import burst_share, list_age
from chivepond.platform import store_calls
from chivepond.wire import sync_message

#: Maximum number of remembered deletions. A follower whose revision
#: precedes a deletion that was dropped gets the full list.
_MAX_DELETIONS = 1000


@dataclasses.dataclass(slots=True, frozen=True)
class Sink:
    """Callbacks that receive full lists and single changes."""

    on_list: Callable[[list[store_calls.StoredObject]], None]
    on_change: Callable[[store_calls.WatchEvent], None]


class Replica:
    """Applies lists and changes in the order of the store's revisions.

    Ignores older state that arrives later, for example from a gateway that the
    store refuses: it would bring back a searcher that has left. The revision
    advances once the changes are applied, so that they are received again
    after an exception.
    """

    __slots__ = (
        '_history_start',
        '_deleted_at_by_name',
        '_sink',
        '_stored_by_name',
        'as_of',
        'changed',
        'confirmed_at',
        'is_age_bounded',
        'list_age',
    )

    def __init__(
        self,
        sink: Sink,
        changed: asyncio.Event,
        *,
        is_age_bounded: bool = True,
    ) -> None:
        """Start empty; set ``changed`` after each update or confirmation.

        If not ``is_age_bounded``, the replica may be of any age.
        """
        self.is_age_bounded = is_age_bounded
        self._sink = sink
        self.changed = changed
        #: The store's revision of this replica; zero while it is empty.
        self.as_of = 0
        #: When the store last confirmed this replica, as time of the event
        #: loop, in seconds.
        self.confirmed_at: float = 0
        #: Unlike ``confirmed_at`` it allows for replies that were long on their
        #: way.
        self.list_age = list_age.ListAge(burst_share.MAX_LIST_AGE_S)
        self._history_start = 0
        self._stored_by_name: dict[str, store_calls.StoredObject] = {}
        self._deleted_at_by_name: dict[str, int] = {}

    def confirm(self, confirmed_at: float) -> None:
        """Record that the replica was current at this loop time."""
        if confirmed_at > self.confirmed_at:
            self.confirmed_at = confirmed_at
            self.changed.set()

    def verify(self, verified_at: float) -> None:
        """Record that a read began at this loop time and is applied."""
        now = asyncio.get_running_loop().time()
        self.list_age.verify(verified_at, now)

    def apply_list(
        self,
        stored_objects: list[store_calls.StoredObject],
        as_of: int,
    ) -> None:
        """Replace all objects by those of the revision ``as_of``.

        Ignores a list that is older than the replica.
        """
        if as_of < self.as_of:
            return
        self._stored_by_name = {
            stored_object.meta.name: stored_object
            for stored_object in stored_objects
        }
        self._deleted_at_by_name.clear()
        self._history_start = as_of
        self._sink.on_list(stored_objects)
        self.as_of = as_of
        self.changed.set()

    def apply_changes(
        self,
        changes: list[store_calls.WatchEvent],
        as_of: int,
    ) -> None:
        """Apply the changes up to the revision ``as_of``.

        Ignores changes that are older than the replica.
        """
        if as_of < self.as_of:
            return
        for change in changes:
            self._apply_change(change, as_of)
        self.as_of = as_of
        if changes:
            self.changed.set()

    def age_s(self, now: float) -> float:
        """Return the seconds since the store confirmed this; 0 if unbounded."""
        return now - self.confirmed_at if self.is_age_bounded else 0

    def find(self, name: str) -> store_calls.StoredObject | None:
        """Return the object with this name, or none."""
        return self._stored_by_name.get(name)

    def update_since(
        self,
        since: int,
        *,
        may_omit_unchanged: bool = False,
    ) -> sync_message.KindUpdate | None:
        """Return what changed after the revision ``since``; none if nothing.

        If ``may_omit_unchanged``, a full list has only the names of the objects
        that have not changed since then.
        """
        if since >= self.as_of:
            return None
        if since < self._history_start:
            return self._full_update(since if may_omit_unchanged else 0)
        deleted_names = [
            name
            for name, deleted_at in self._deleted_at_by_name.items()
            if deleted_at > since
        ]
        entries = self._entries_since(since)
        if not (entries or deleted_names):
            return None
        return sync_message.KindUpdate(
            self.as_of, False, entries, deleted_names
        )

    def apply_update(self, update: sync_message.KindUpdate) -> None:
        """Apply an update from another gateway."""
        stored_objects = [
            store_calls.stored(entry.name, entry.revision, entry.spec)
            for entry in update.entries
        ]
        if update.is_whole:
            stored_objects.extend(self._unchanged_objects(update.kept))
            self.apply_list(stored_objects, update.as_of)
            return
        changes = [
            store_calls.WatchEvent(stored_object)
            for stored_object in stored_objects
        ]
        for name in update.gone:
            removed = store_calls.stored(name, update.as_of, b'null')
            changes.append(store_calls.WatchEvent(removed, deleted=True))
        self.apply_changes(changes, update.as_of)

    def _full_update(self, since: int) -> sync_message.KindUpdate:
        entries = self._entries_since(since)
        changed_names = {entry.name for entry in entries}
        unchanged_names = [
            name for name in self._stored_by_name if name not in changed_names
        ]
        return sync_message.KindUpdate(
            self.as_of, True, entries, [], unchanged_names
        )

    def _entries_since(self, since: int) -> list[sync_message.ObjectEntry]:
        return [
            sync_message.ObjectEntry(
                name,
                stored.meta.revision,
                bytes(stored.spec),
            )
            for name, stored in self._stored_by_name.items()
            if stored.meta.revision > since
        ]

    def _unchanged_objects(
        self, names: list[str]
    ) -> Iterator[store_calls.StoredObject]:
        for name in names:
            stored = self._stored_by_name.get(name)
            if stored is not None:
                yield stored

    def _apply_change(self, change: store_calls.WatchEvent, as_of: int) -> None:
        name = change.object.meta.name
        if change.deleted:
            self._stored_by_name.pop(name, None)
            self._deleted_at_by_name[name] = as_of
            self._drop_oldest_deletion()
        else:
            self._stored_by_name[name] = change.object
            self._deleted_at_by_name.pop(name, None)
        self._sink.on_change(change)

    def _drop_oldest_deletion(self) -> None:
        if len(self._deleted_at_by_name) > _MAX_DELETIONS:
            oldest = next(iter(self._deleted_at_by_name))
            self._history_start = self._deleted_at_by_name.pop(oldest)
