"""The object store of the stand-in platform."""

import asyncio

import msgspec
import result

from chivepond.errors import conflict, not_found, problem
from chivepond.wire import object_write, stored_object


class ObjectTable:
    """An in-memory table of versioned objects with conditional writes."""

    __slots__ = ('_object_by_key', '_changed', '_is_closed', '_version')

    def __init__(self) -> None:
        """Start empty, at version zero."""
        self._object_by_key: dict[
            tuple[str, str], stored_object.StoredObject
        ] = {}
        self._changed = asyncio.Event()
        self._is_closed = False
        self._version = 0

    def read(
        self,
        kind: str,
        name: str,
    ) -> result.Result[stored_object.StoredObject, problem.Problem]:
        """Return an object, or a not-found error."""
        stored = self._object_by_key.get((kind, name))
        if stored is None:
            return result.Err(
                not_found.NotFound(
                    message=f'object not found: {kind}/{name}',
                    remedy='create the object with expect 0',
                ),
            )
        return result.Ok(stored)

    def write(
        self,
        kind: str,
        name: str,
        write: object_write.ObjectWrite,
    ) -> result.Result[stored_object.StoredObject, problem.Problem]:
        """Create or replace an object if its version is ``write.expect``.

        Version zero stands for an object that does not exist. Returns a
        conflict error otherwise.
        """
        version_conflict = self._version_conflict(kind, name, write.expect)
        if version_conflict is not None:
            return result.Err(version_conflict)
        self._version += 1
        stored = stored_object.StoredObject(
            kind=kind,
            name=name,
            version=self._version,
            token=write.token,
            body=write.body,
        )
        self._object_by_key[kind, name] = stored
        self._wake_watchers()
        return result.Ok(stored)

    def delete(
        self,
        kind: str,
        name: str,
        write: object_write.ObjectWrite,
    ) -> result.Result[stored_object.StoredObject, problem.Problem]:
        """Remove an object if its version is ``write.expect``.

        Returns a conflict error otherwise.
        """
        version_conflict = self._version_conflict(kind, name, write.expect)
        if version_conflict is not None:
            return result.Err(version_conflict)
        self._version += 1
        return result.Ok(self._object_by_key.pop((kind, name)))

    def publish(self, kind: str, name: str, body: msgspec.Raw) -> None:
        """Create or replace an object unconditionally, as the platform does."""
        stored = self._object_by_key.get((kind, name))
        expect = 0 if stored is None else stored.version
        write = object_write.ObjectWrite(expect=expect, token='', body=body)
        self.write(kind, name, write)

    def listed(
        self,
        kind: str,
        limit: int,
    ) -> list[stored_object.StoredObject]:
        """Return up to ``limit`` objects of a kind by name; zero means all."""
        matching = [
            stored
            for stored in self._object_by_key.values()
            if stored.kind == kind
        ]
        matching.sort(key=lambda stored: stored.name)
        return matching[: limit or None]

    def newer(
        self,
        kinds: frozenset[str],
        after: int,
    ) -> list[stored_object.StoredObject]:
        """Return objects of ``kinds`` with a version above ``after``.

        They are sorted by version.
        """
        matching = [
            stored
            for stored in self._object_by_key.values()
            if stored.kind in kinds and stored.version > after
        ]
        return sorted(matching, key=lambda stored: stored.version)

    async def wait_newer(
        self,
        kinds: frozenset[str],
        after: int,
        wait_s: float,
    ) -> list[stored_object.StoredObject]:
        """Return newer objects, after waiting for the first of them.

        Returns an empty list after ``wait_s`` seconds; does not wait when the
        table is closed.
        """
        try:
            async with asyncio.timeout(wait_s):
                while not self._is_closed and not self.newer(kinds, after):
                    await self._changed.wait()
        except TimeoutError:
            return []
        return self.newer(kinds, after)

    def close(self) -> None:
        """Make current and later watches return without waiting."""
        self._is_closed = True
        self._wake_watchers()

    def _wake_watchers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _version_conflict(
        self,
        kind: str,
        name: str,
        expect: int,
    ) -> conflict.Conflict | None:
        stored = self._object_by_key.get((kind, name))
        version = 0 if stored is None else stored.version
        if version == expect:
            return None
        return conflict.Conflict(
            message=f'{kind}/{name} is at version {version}, not {expect}',
            remedy='read the object again, and retry with its current version',
        )
