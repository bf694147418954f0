"""The callers' side of a node, as an HTTP application."""

from collections.abc import Callable

from starlette import applications, requests, responses, routing

from chivepond.entry import admitted_commands, searches
from chivepond.observe import metrics
from chivepond.transport import bodies, endpoints
from chivepond.wire import command_request, search_request

_NOT_READY = 503


class EntryApplication:
    """Routes callers' requests to searches and commands."""

    __slots__ = ('_commands', '_scrapes', '_searches', '_waits_for')

    def __init__(
        self,
        searching: searches.Searches,
        commanding: admitted_commands.AdmittedCommands,
        waits_for: Callable[[], str],
        scrapes: metrics.Metrics,
    ) -> None:
        """``waits_for`` names what readiness waits for, empty when ready."""
        self._searches = searching
        self._commands = commanding
        self._waits_for = waits_for
        self._scrapes = scrapes

    def build(self) -> applications.Starlette:
        """Return the application."""
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
                routing.Route('/v1/commands/{key}', self._standing),
                routing.Route('/healthz', _health),
                routing.Route('/readyz', self._ready),
                self._scrapes.route(),
            ],
        )

    async def _standing(self, request: requests.Request) -> responses.Response:
        key = request.path_params['key']
        return endpoints.reply(await self._commands.standing(key))

    async def _ready(self, request: requests.Request) -> responses.Response:
        waits_for = self._waits_for()
        if waits_for:
            return responses.PlainTextResponse(
                f'{waits_for}\n',
                status_code=_NOT_READY,
            )
        return responses.PlainTextResponse('ready\n')


async def _health(request: requests.Request) -> responses.Response:
    return responses.PlainTextResponse('alive\n')
