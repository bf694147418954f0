"""A stand-in for the platform's store: lists, watches, conditional writes."""

import asyncio
import contextlib
import dataclasses
import types
from collections.abc import Callable
from typing import Any, Self
from urllib import parse as urls

import msgspec

from chivepond.gateway import (
    client_connection,
    client_request,
    client_response,
    listener,
    routing_table,
)
from chivepond.platform import store_calls
from chivepond.transport import address, request_memory

_OK = 200
_CREATED = 201
_NOT_FOUND = 404
_CONFLICT = 409
_GONE = 410
_PAGE_SIZE = 50
_MS_PER_S = 1000
_MEMORY_MB = 64


@dataclasses.dataclass(slots=True, frozen=True)
class _Change:
    revision: int
    kind: str
    stored: dict[str, Any]
    is_deleted: bool = False


class RoutedStore:
    """Serves objects by kind and name while it is entered.

    ``refuse`` returns the status with which to reject a call by its target,
    or None. ``forget`` drops the change history, so that each watch of an
    older revision gets 410 and lists again.
    """

    __slots__ = (
        '_changed',
        '_changes',
        '_listener',
        '_object_by_key',
        '_stale_object_by_key',
        '_stale_revision',
        '_oldest_revision',
        '_revision',
        'calls',
        'refuse',
    )

    def __init__(self) -> None:
        """Start without objects, at revision 1."""
        self._object_by_key: dict[tuple[str, str], dict[str, Any]] = {}
        #: Snapshot for reads that allow stale answers; set by ``lag``.
        self._stale_object_by_key: dict[tuple[str, str], dict[str, Any]] = {}
        self._stale_revision = 0
        self._changes: list[_Change] = []
        self._revision = 1
        self._oldest_revision = 0
        self._changed = asyncio.Event()
        self.calls = 0
        self.refuse: Callable[[str], int | None] = _accept_all
        self._listener = listener.Listener(
            address.Address('127.0.0.1', 0),
            client_connection.Service(
                serve=self._serve,
                limits=lambda: routing_table.DEFAULT_LIMITS,
                is_stopping=bool,
                memory=request_memory.RequestMemory(_MEMORY_MB, share=1),
            ),
        )

    async def __aenter__(self) -> Self:
        """Start to listen on a free port."""
        await self._listener.__aenter__()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Stop listening, and reset all connections."""
        await self._listener.__aexit__(kind, error, trace)
        self._listener.abort_all()

    @property
    def address(self) -> address.Address:
        """The address that the store listens on."""
        return self._listener.address

    def cut(self) -> None:
        """Reset all open connections."""
        self._listener.abort_all()

    def lag(self) -> None:
        """Freeze the current objects for reads that allow stale answers."""
        self._stale_revision = self._revision
        self._stale_object_by_key = dict(self._object_by_key)

    def forget(self) -> None:
        """Drop the change history."""
        self._oldest_revision = self._revision
        self._changes.clear()
        self._wake_watchers()

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Create or replace an object unconditionally."""
        self._revision += 1
        meta = {'name': name, 'revision': self._revision}
        stored = {'meta': meta, 'spec': spec, 'status': None}
        self._object_by_key[(kind, name)] = stored
        self._changes.append(_Change(self._revision, kind, stored))
        self._wake_watchers()

    def remove(self, kind: str, name: str) -> None:
        """Remove an object; raises KeyError when it does not exist."""
        self._revision += 1
        stored = self._object_by_key.pop((kind, name))
        self._changes.append(_Change(self._revision, kind, stored, True))
        self._wake_watchers()

    def spec(self, kind: str, name: str) -> Any:
        """Return the ``spec`` of an object."""
        return self._object_by_key[kind, name]['spec']

    def revision(self, kind: str, name: str) -> int:
        """Return the revision at which an object last changed."""
        stored = self._object_by_key[(kind, name)]
        return stored['meta']['revision']

    @property
    def as_of(self) -> int:
        """The revision of the last change to any object."""
        return self._revision

    def names(self, kind: str) -> list[str]:
        """Return the sorted names of the objects of a kind."""
        return sorted(
            name
            for stored_kind, name in self._object_by_key
            if stored_kind == kind
        )

    def _wake_watchers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self,
        request: client_request.ClientRequest,
    ) -> client_response.ClientResponse:
        self.calls += 1
        target = request.target.decode()
        refusal_status = self.refuse(target)
        if refusal_status is not None:
            return client_response.refusal(
                refusal_status, 'rejected by the stand-in store'
            )
        path, _, query = target.partition('?')
        kind, _, name = path.removeprefix('/api/objects/').partition('/')
        query_parameters = dict(urls.parse_qsl(query))
        if request.method == b'GET':
            return await self._read_objects(kind, name, query_parameters)
        if request.method == b'DELETE':
            return self._delete_object(
                (kind, name), int(query_parameters.get('revision', 0))
            )
        return self._write_object(kind, name, request)

    async def _read_objects(
        self,
        kind: str,
        name: str,
        query: dict[str, str],
    ) -> client_response.ClientResponse:
        if name:
            stored = self._object_by_key.get((kind, name))
            return _json_response(_OK if stored else _NOT_FOUND, stored)
        if 'wait_ms' in query:
            wait_s = int(query['wait_ms']) / _MS_PER_S  # noqa: WPS529
            if store_calls.MAY_BE_OLD in query and self._stale_revision:
                await asyncio.sleep(wait_s)
                return _json_response(
                    _OK, {'events': [], 'as_of': self._stale_revision}
                )
            since = int(query['watch'])
            return await self._watch(kind, since, wait_s)
        after = query.pop('after', '')
        if store_calls.MAY_BE_OLD in query and self._stale_revision:
            return _page_response(
                self._stale_object_by_key,
                (kind, after),
                self._stale_revision,
            )
        return _page_response(
            self._object_by_key, (kind, after), self._revision
        )

    async def _watch(
        self,
        kind: str,
        since: int,
        wait_s: float,
    ) -> client_response.ClientResponse:
        # A change may arrive as the timeout expires: events are read after it,
        # so that ``as_of`` covers no event that is left out.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while since >= self._oldest_revision and not self._events_since(
                    kind, since
                ):
                    await self._changed.wait()
        if since < self._oldest_revision:
            return _json_response(_GONE, None)
        update = {
            'events': self._events_since(kind, since),
            'as_of': self._revision,
        }
        return _json_response(_OK, update)

    def _events_since(self, kind: str, since: int) -> list[dict[str, Any]]:
        return [
            {'object': change.stored, 'deleted': change.is_deleted}
            for change in self._changes
            if change.kind == kind and change.revision > since
        ]

    def _write_object(
        self,
        kind: str,
        name: str,
        request: client_request.ClientRequest,
    ) -> client_response.ClientResponse:
        document = msgspec.json.decode(request.body)
        if not name:
            name = document['meta']['name']
        key = (kind, name)
        if request.method == b'POST' and key in self._object_by_key:
            return _json_response(_CONFLICT, self._object_by_key.get(key))
        conflict = self._conflict(key, document['meta'].get('revision', 0))
        if conflict is not None:
            return conflict
        self.put(kind, name, document['spec'])
        return _json_response(_CREATED, self._object_by_key[key])

    def _delete_object(
        self, key: tuple[str, str], revision: int
    ) -> client_response.ClientResponse:
        conflict = self._conflict(key, revision)
        if conflict is not None:
            return conflict
        self.remove(*key)
        return _json_response(_OK, None)

    def _conflict(
        self,
        key: tuple[str, str],
        revision: int,
    ) -> client_response.ClientResponse | None:
        """Return a conflict or not-found response for an old revision.

        Returns None when the revision is current, or zero (unconditional).
        """
        stored = self._object_by_key.get(key)
        if not revision or (stored and stored['meta']['revision'] == revision):
            return None
        return _json_response(_CONFLICT if stored else _NOT_FOUND, stored)


def _accept_all(path: str) -> int | None:  # noqa: WPS324
    return None  # noqa: WPS324


def _page_response(
    object_by_key: dict[tuple[str, str], dict[str, Any]],
    start: tuple[str, str],
    as_of: int,
) -> client_response.ClientResponse:
    keys = sorted(
        key for key in object_by_key if key[0] == start[0] and key > start
    )
    page_keys = keys[:_PAGE_SIZE]
    page = {
        'items': [object_by_key[key] for key in page_keys],
        'as_of': as_of,
        'has_more': len(keys) > len(page_keys),
    }
    return _json_response(_OK, page)


def _json_response(
    status: int, payload: object
) -> client_response.ClientResponse:
    return client_response.ClientResponse(
        status, [], msgspec.json.encode(payload)
    )
