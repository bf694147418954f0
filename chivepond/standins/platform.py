"""A stand-in for the platform: objects, watches and the list of hosts."""

import asyncio
import time
import types
from collections.abc import Awaitable, Callable
from typing import Self

import result
from starlette import applications, requests, responses, routing

from chivepond.errors import problem, shed, unreachable
from chivepond.standins import call_rate, object_table, platform_faults
from chivepond.transport import address, bodies, replies, server
from chivepond.wire import codec, host, host_list, object_list, object_write

_MS_PER_S = 1000
_GRACE_S = 1
_DOWN_POLL_S = 0.02
_RATE_LIMIT_EXCEEDED = shed.Shed(
    message='the platform call rate limit is exceeded',
    remedy='reduce the call rate',
    retry_after_ms=1000,
)

_Endpoint = Callable[[requests.Request], Awaitable[responses.Response]]


class PlatformStandin:
    """Serves the object API of docs/PROTOCOLS.md, with faults on demand."""

    __slots__ = (
        '_host_list_version',
        '_call_rate',
        '_server',
        '_stopping',
        'calls_by_path',
        'faults',
        'objects',
    )

    def __init__(self, listen: address.Address) -> None:
        """Listen on ``listen`` once entered."""
        self.objects = object_table.ObjectTable()
        self.faults = platform_faults.PlatformFaults()
        self.calls_by_path: dict[str, int] = {}
        self._host_list_version = 0
        self._call_rate = call_rate.CallRate()
        self._stopping = asyncio.Event()
        self._server = server.Server(self._application(), listen, _GRACE_S)

    @property
    def address(self) -> address.Address:
        """The address that the platform listens on."""
        return self._server.address

    async def __aenter__(self) -> Self:
        """Start serving."""
        await self._server.__aenter__()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """End all watches and stop serving."""
        self.faults = platform_faults.PlatformFaults()
        self.objects.close()
        self._stopping.set()
        await self._server.__aexit__(kind, error, trace)

    def ignore_open_connections(self) -> None:
        """Ignore all further input on open connections; new ones work."""
        self._server.ignore_open_connections()

    async def set_hosts(self, hosts: list[host.Host]) -> None:
        """Publish a list of hosts after the ``host_lag_ms`` of the faults."""
        await asyncio.sleep(self.faults.host_lag_ms / _MS_PER_S)
        self._host_list_version += 1
        listed = host_list.HostList(
            version=self._host_list_version, hosts=hosts
        )
        self.objects.publish('hosts', 'all', codec.to_raw(listed))

    def _application(self) -> applications.Starlette:
        objects = '/v1/objects/{kind}/{name:path}'
        return applications.Starlette(
            routes=[
                routing.Route(
                    '/v1/objects/{kind}', self._with_faults('list', self._list)
                ),
                routing.Route(objects, self._with_faults('read', self._read)),
                routing.Route(
                    objects,
                    self._with_faults('write', self._write),
                    methods=['POST'],
                ),
                routing.Route(
                    '/v1/deletions/{kind}/{name:path}',
                    self._with_faults('delete', self._delete),
                    methods=['POST'],
                ),
                routing.Route(
                    '/v1/watch', self._with_faults('watch', self._watch)
                ),
                routing.Route(
                    '/standin/faults',
                    self._set_faults,
                    methods=['POST'],
                ),
                routing.Route(
                    '/standin/hosts',
                    self._set_hosts,
                    methods=['POST'],
                ),
                routing.Route('/standin/calls', self._call_counts),
            ],
        )

    async def _list(self, request: requests.Request) -> responses.Response:
        limit = int(request.query_params.get('limit', 0))
        stored = self.objects.listed(request.path_params['kind'], limit)
        return replies.of_message(object_list.ObjectList(entries=stored))

    async def _read(self, request: requests.Request) -> responses.Response:
        params = request.path_params
        return _to_response(self.objects.read(params['kind'], params['name']))

    async def _write(self, request: requests.Request) -> responses.Response:
        write = await _body(request)
        params = request.path_params
        answer = write.and_then(
            lambda decoded: self.objects.write(
                params['kind'],
                params['name'],
                decoded,
            ),
        )
        await self._lose_reply()
        return _to_response(answer)

    async def _delete(self, request: requests.Request) -> responses.Response:
        write = await _body(request)
        params = request.path_params
        return _to_response(
            write.and_then(
                lambda decoded: self.objects.delete(
                    params['kind'],
                    params['name'],
                    decoded,
                ),
            ),
        )

    async def _watch(self, request: requests.Request) -> responses.Response:
        query = request.query_params
        entries = await self.objects.wait_newer(
            frozenset(query['kinds'].split(',')),
            int(query['after']),
            int(query['wait_ms']) / _MS_PER_S,
        )
        await self._wait_while_down()
        return replies.of_message(object_list.ObjectList(entries=entries))

    async def _set_faults(
        self,
        request: requests.Request,
    ) -> responses.Response:
        decoded = codec.decode(
            platform_faults.PlatformFaults,
            await request.body(),
        )
        self.faults = decoded.unwrap()
        return replies.of_message(self.faults)

    async def _set_hosts(
        self,
        request: requests.Request,
    ) -> responses.Response:
        decoded = codec.decode(list[host.Host], await request.body())
        await self.set_hosts(decoded.unwrap())
        return replies.of_message(True)

    async def _call_counts(
        self, request: requests.Request
    ) -> responses.Response:
        return replies.of_message(self.calls_by_path)

    def _with_faults(self, path: str, endpoint: _Endpoint) -> _Endpoint:
        async def endpoint_with_faults(
            request: requests.Request,
        ) -> responses.Response:
            self.calls_by_path[path] = self.calls_by_path.get(path, 0) + 1
            await self._wait_while_down()
            await asyncio.sleep(self.faults.slow_ms / _MS_PER_S)
            if self._call_rate.count_call(
                time.monotonic(), self.faults.calls_per_s
            ):
                return replies.of_problem(_RATE_LIMIT_EXCEEDED)
            return await endpoint(request)

        return endpoint_with_faults

    async def _wait_while_down(self) -> None:
        while self.faults.down:
            await asyncio.sleep(_DOWN_POLL_S)

    async def _lose_reply(self) -> None:
        if self.faults.lose_replies > 0:
            self.faults.lose_replies -= 1
            await self._stopping.wait()


async def _body(
    request: requests.Request,
) -> result.Result[object_write.ObjectWrite, problem.Problem]:
    raw = await bodies.read(request, bodies.MAX_PEER_BYTES)
    return raw.and_then(
        lambda body: codec.decode(object_write.ObjectWrite, body),
    )


def _to_response(
    answer: result.Result[object, problem.Problem],
) -> responses.Response:
    match answer:
        case result.Ok(message):
            return replies.of_message(message)
        case result.Err(failure):
            return replies.of_problem(failure)
    return replies.of_problem(
        unreachable.Unreachable(
            message='no result for the call', remedy='retry the call'
        ),
    )
