"""The HTTP application that a node serves to callers."""

from collections.abc import Callable

from starlette import applications, requests, responses, routing

from chivepond.entry import admitted_commands, searches
from chivepond.observe import metrics
from chivepond.transport import bodies, endpoints
from chivepond.wire import command_request, search_request

_NOT_READY = 503


class EntryApplication:
    """Routes callers' requests to searches and commands."""

    __slots__ = ('_commands', '_metrics', '_searches', '_pending_reason')

    def __init__(
        self,
        search_endpoint: searches.Searches,
        command_endpoint: admitted_commands.AdmittedCommands,
        pending_reason: Callable[[], str],
        metrics_endpoint: metrics.Metrics,
    ) -> None:
        """``pending_reason`` returns why the node is not ready, or ''."""
        self._searches = search_endpoint
        self._commands = command_endpoint
        self._pending_reason = pending_reason
        self._metrics = metrics_endpoint

    def build(self) -> applications.Starlette:
        """Return the ASGI application with all routes for callers."""
        return endpoints.application(
            [
                endpoints.post(
                    '/v1/search',
                    search_request.SearchRequest,
                    self._searches.search,
                    bodies.MAX_CALLER_BYTES,
                ),
                endpoints.post(
                    '/v1/commands',
                    command_request.CommandRequest,
                    self._commands.run,
                    bodies.MAX_CALLER_BYTES,
                ),
                routing.Route('/v1/commands/{key}', self._key_status),
                routing.Route('/healthz', _health),
                routing.Route('/readyz', self._readiness),
                self._metrics.route(),
            ],
        )

    async def _key_status(
        self, request: requests.Request
    ) -> responses.Response:
        key = request.path_params['key']
        return endpoints.reply(await self._commands.key_status(key))

    async def _readiness(self, request: requests.Request) -> responses.Response:
        pending_reason = self._pending_reason()
        if pending_reason:
            return responses.PlainTextResponse(
                f'{pending_reason}\n',
                status_code=_NOT_READY,
            )
        return responses.PlainTextResponse('ready\n')


async def _health(request: requests.Request) -> responses.Response:
    return responses.PlainTextResponse('alive\n')
