"""Request paths and reply formats of the platform's object store."""

from urllib import parse as urls
from typing import Any

import msgspec

_ROOT = '/api/objects'
#: Query parameter that permits a reply a few seconds stale.
MAY_BE_OLD = 'stale_ok'
#: Kind of gateway registrations; defined by chivepond, not the platform.
GATEWAY_KIND = 'chivepond-gateways'
#: Kind of the records of requests that crash searchers, which gateways share;
#: defined by chivepond, not the platform.
CRASH_KIND = 'chivepond-crashes'
#: Kind of searcher registrations.
SEARCHERS = 'servers'
#: Kinds by which bursts are divided.
LISTS = (GATEWAY_KIND, SEARCHERS)
#: Kind and name of the only object that holds the routing configuration.
CONFIGURATION = 'config'
CONFIGURATION_NAME = 'main'


class Meta(msgspec.Struct):
    """Metadata of a stored object."""

    name: str
    #: Store revision of the last change to this object.
    revision: int = 0


class StoredObject(msgspec.Struct):
    """One object; the codec of its kind decodes ``spec``."""

    meta: Meta
    spec: msgspec.Raw = msgspec.Raw(b'null')


class WatchEvent(msgspec.Struct):
    """One change to an object, as a watch returns it."""

    object: StoredObject
    deleted: bool = False


class ListPage(msgspec.Struct):
    """One page of the objects of a kind."""

    #: Objects in order of their names.
    items: list[StoredObject]  # noqa: WPS110
    #: Store revision at which the page was read.
    as_of: int
    has_more: bool = False


class WatchReply(msgspec.Struct):
    """The changes that a watch returned, up to revision ``as_of``."""

    events: list[WatchEvent]
    as_of: int


def stored(name: str, revision: int, spec: bytes) -> StoredObject:
    """Return the object that another gateway sent as separate fields."""
    return StoredObject(Meta(name, revision), msgspec.Raw(spec))


def kind_path(kind: str) -> str:
    """Return the path on which objects of a kind are created."""
    return f'{_ROOT}/{kind}'


def list_path(kind: str, after: str = '', *, allow_stale: bool = False) -> str:
    """Return the path of the page that follows the name ``after``.

    A read that may be a few seconds stale costs a tenth of a fresh one.
    """
    query = {'after': after} if after else {}
    if allow_stale:
        query[MAY_BE_OLD] = '1'
    if not query:
        return kind_path(kind)
    return f'{_ROOT}/{kind}?{urls.urlencode(query)}'


def watch_path(kind: str, revision: int, wait_ms: int) -> str:
    """Return the path that waits for changes after ``revision``."""
    return f'{_ROOT}/{kind}?watch={revision}&wait_ms={wait_ms}'


def object_path(kind: str, name: str, revision: int = 0) -> str:
    """Return the path of one object, at ``revision`` unless that is 0."""
    path = f'{_ROOT}/{kind}/{urls.quote(name, safe="")}'
    return f'{path}?revision={revision}' if revision else path


def object_body(name: str, spec: Any, revision: int = 0) -> bytes:
    """Return the JSON body of a write.

    A ``revision`` above 0 makes the write conditional on that revision.
    """
    meta = {'name': name, 'revision': revision} if revision else {'name': name}
    return msgspec.json.encode({'meta': meta, 'spec': spec})
