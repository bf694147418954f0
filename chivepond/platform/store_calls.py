"""Calls on the platform's store, and the form of its replies."""

from urllib import parse as urls
from typing import Any

import msgspec

_ROOT = '/api/objects'
#: The field of a query that allows an answer to be seconds old.
MAY_BE_OLD = 'stale_ok'
#: The kind under which gateways register themselves, one of our own.
GATEWAYS = 'chivepond-gateways'
#: The kind under which gateways keep which requests crash searchers, likewise.
CRASHES = 'chivepond-crashes'
#: The kind under which searchers register themselves.
SEARCHERS = 'servers'
#: The kind that holds the routing configuration, and its one name.
CONFIGURATION = 'config'
CONFIGURATION_NAME = 'main'


class Meta(msgspec.Struct):
    """What the store keeps of an object beside its content."""

    name: str
    #: The store's revision at the last change of this object.
    revision: int = 0


class StoredObject(msgspec.Struct):
    """One object; ``spec`` is left for the codec of its kind."""

    meta: Meta
    spec: msgspec.Raw = msgspec.Raw(b'null')


class Change(msgspec.Struct):
    """One event of a watch."""

    object: StoredObject
    deleted: bool = False


class Page(msgspec.Struct):
    """One page of a list."""

    #: Objects of the kind, by name.
    items: list[StoredObject]  # noqa: WPS110
    #: The store's revision when the page was read.
    as_of: int
    has_more: bool = False


class Changes(msgspec.Struct):
    """What a watch returned."""

    events: list[Change]
    as_of: int


def stored(name: str, revision: int, spec: bytes) -> StoredObject:
    """Return an object that another gateway told of."""
    return StoredObject(Meta(name, revision), msgspec.Raw(spec))


def kind_path(kind: str) -> str:
    """Return the path on which objects of a kind are created."""
    return f'{_ROOT}/{kind}'


def list_path(kind: str, after: str = '', *, may_be_old: bool = False) -> str:
    """Return the path of one page of a list.

    One that may be seconds old is a tenth of the price.
    """
    query = {'after': after} if after else {}
    if may_be_old:
        query[MAY_BE_OLD] = '1'
    if not query:
        return kind_path(kind)
    return f'{_ROOT}/{kind}?{urls.urlencode(query)}'


def watch_path(kind: str, revision: int, wait_ms: int) -> str:
    """Return the path of a watch for what follows ``revision``."""
    return f'{_ROOT}/{kind}?watch={revision}&wait_ms={wait_ms}'


def object_path(kind: str, name: str, revision: int = 0) -> str:
    """Return the path of one object, as it is at ``revision`` if given."""
    path = f'{_ROOT}/{kind}/{urls.quote(name, safe="")}'
    return f'{path}?revision={revision}' if revision else path


def object_body(name: str, spec: Any, revision: int = 0) -> bytes:
    """Return the body that writes an object, if it is at ``revision``."""
    meta = {'name': name, 'revision': revision} if revision else {'name': name}
    return msgspec.json.encode({'meta': meta, 'spec': spec})
