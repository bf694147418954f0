"""A client of the platform's object API."""

import asyncio
import secrets
import types
from collections import Counter
from typing import Any, Self

import msgspec
import result

from chivepond.errors import outcome_unknown, problem
from chivepond.object_store import counted_client, kinds
from chivepond.transport import address, exchange
from chivepond.wire import codec, object_list, object_write, stored_object

_TOKEN_BYTES = 9
_CONNECTIONS = 16
_WATCH_GRACE_S = 2
_MS_PER_S = 1000


class PlatformClient:
    """Reads, writes and watches objects; resolves writes with a lost reply."""

    __slots__ = ('_client', '_probe_task', '_timeout_s')

    def __init__(self, target: address.Address, timeout_s: float) -> None:
        """Connect to ``target``; calls time out after ``timeout_s`` seconds."""
        self._client = counted_client.CountedClient(target, _CONNECTIONS)
        self._timeout_s = timeout_s
        self._probe_task: asyncio.Task[object] | None = None

    async def __aenter__(self) -> Self:
        """Return the client."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Close all connections."""
        if self._probe_task is not None:
            self._probe_task.cancel()
        await self._client.__aexit__(kind, error, trace)

    @property
    def calls_by_result(self) -> Counter[str]:
        """Number of calls by outcome, see ``CountedClient``."""
        return self._client.calls_by_result

    @property
    def is_away(self) -> bool:
        """Whether the last call got no reply or a status of 500 or above."""
        return self._client.is_away

    def probe(self) -> None:
        """Start a background read whose outcome updates ``is_away``.

        Does nothing while an earlier probe is running.
        """
        if self._probe_task is None or self._probe_task.done():
            self._probe_task = asyncio.create_task(
                self.read(*kinds.HOSTS.split('/')),
            )

    async def read(
        self,
        kind: str,
        name: str,
    ) -> result.Result[stored_object.StoredObject, problem.Problem]:
        """Return one object, or the error that the platform replied with."""
        return await exchange.get(
            stored_object.StoredObject,
            self._client,
            f'/v1/objects/{kind}/{name}',
            self._timeout_s,
        )

    async def list_kind(
        self,
        kind: str,
        limit: int,
    ) -> result.Result[object_list.ObjectList, problem.Problem]:
        """Return the first ``limit`` objects of one kind, ordered by name."""
        return await exchange.get(
            object_list.ObjectList,
            self._client,
            f'/v1/objects/{kind}?limit={limit}',
            self._timeout_s,
        )

    async def write(
        self,
        kind: str,
        name: str,
        message: Any,
        expect: int,
    ) -> result.Result[stored_object.StoredObject, problem.Problem]:
        """Replace version ``expect`` of an object; 0 creates it.

        Each write carries a random token. If no reply arrives, the write may
        still have taken effect, and repeating it would conflict with itself.
        The client then reads the object: a matching token proves that the
        write succeeded. Otherwise it returns ``OutcomeUnknown``.
        """
        token = secrets.token_urlsafe(_TOKEN_BYTES)
        body = object_write.ObjectWrite(
            expect=expect,
            token=token,
            body=msgspec.Raw(codec.encode(message)),
        )
        path = f'/v1/objects/{kind}/{name}'
        post_result = await self._client.post(
            path,
            codec.encode(body),
            self._timeout_s,
        )
        match post_result:
            case result.Ok(response):
                return exchange.read(stored_object.StoredObject, response)
            case _:
                return await self._resolve_write(kind, name, token, expect)

    async def delete(
        self,
        kind: str,
        name: str,
        expect: int,
    ) -> result.Result[stored_object.StoredObject, problem.Problem]:
        """Delete an object if it is at version ``expect``."""
        body = object_write.ObjectWrite(
            expect=expect,
            token='',
            body=msgspec.Raw(b'null'),
        )
        return await exchange.post(
            stored_object.StoredObject,
            self._client,
            f'/v1/deletions/{kind}/{name}',
            body,
            self._timeout_s,
        )

    async def watch(
        self,
        watched_kinds: tuple[str, ...],
        after: int,
        wait_s: float,
    ) -> result.Result[object_list.ObjectList, problem.Problem]:
        """Return objects with a version above ``after``.

        Waits up to ``wait_s`` seconds for a change, then returns an empty
        list.
        """
        wait_ms = int(wait_s * _MS_PER_S)
        return await exchange.get(
            object_list.ObjectList,
            self._client,
            f'/v1/watch?kinds={",".join(watched_kinds)}'
            f'&after={after}&wait_ms={wait_ms}',
            wait_s + _WATCH_GRACE_S,
        )

    async def _resolve_write(
        self,
        kind: str,
        name: str,
        token: str,
        expect: int,
    ) -> result.Result[stored_object.StoredObject, problem.Problem]:
        read_result = await self.read(kind, name)
        match read_result:
            case result.Ok(stored) if stored.token == token:
                return read_result
        return result.Err(
            outcome_unknown.OutcomeUnknown(
                message=f'no reply to the write of {kind}/{name}@{expect}',
                remedy='read the object before writing it again',
            ),
        )
