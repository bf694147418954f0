"""The operators' side of a node, as an HTTP application."""

from collections.abc import Callable

import result
from starlette import applications, requests, responses, routing

from chivepond.control import editor
from chivepond.observe import metrics
from chivepond.transport import endpoints
from chivepond.wire import node_burn, node_status, section_edit


class OperatorApplication:
    """Routes operators' requests."""

    __slots__ = ('_burn', '_editor', '_scrapes', '_status')

    def __init__(
        self,
        editing: editor.Editor,
        status: Callable[[], node_status.NodeStatus],
        burn: Callable[[], node_burn.NodeBurn],
        scrapes: metrics.Metrics,
    ) -> None:
        """Show ``status`` and ``burn``, and pass edits on."""
        self._burn = burn
        self._scrapes = scrapes
        self._editor = editing
        self._status = status

    def build(self) -> applications.Starlette:
        """Return the application."""
        return endpoints.application(
            [
                routing.Route('/v1/status', self._show_status),
                routing.Route('/v1/burn', self._show_burn),
                self._scrapes.route(),
                routing.Route('/v1/config/{section}', self._view),
                endpoints.post(
                    '/v1/config',
                    section_edit.SectionEdit,
                    self._editor.apply,
                ),
            ],
        )

    async def _show_status(
        self,
        request: requests.Request,
    ) -> responses.Response:
        return endpoints.reply(result.Ok(self._status()))

    async def _show_burn(
        self,
        request: requests.Request,
    ) -> responses.Response:
        return endpoints.reply(result.Ok(self._burn()))

    async def _view(self, request: requests.Request) -> responses.Response:
        section = request.path_params['section']
        return endpoints.reply(await self._editor.view(section))
