"""The operators' side of a node, as an HTTP application."""

from collections.abc import Awaitable, Callable

import result
from starlette import applications, requests, responses, routing

from chivepond.control import editor
from chivepond.observe import metrics
from chivepond.transport import endpoints
from chivepond.wire import (
    deployment_status,
    node_burn,
    node_status,
    section_edit,
)

_ShowAll = Callable[[], Awaitable[deployment_status.DeploymentStatus]]


class OperatorApplication:
    """Routes operators' requests."""

    __slots__ = ('_burn', '_editor', '_scrapes', '_show_all', '_status')

    def __init__(
        self,
        editing: editor.Editor,
        status: Callable[[], node_status.NodeStatus],
        show_all: _ShowAll,
        burn: Callable[[], node_burn.NodeBurn],
        scrapes: metrics.Metrics,
    ) -> None:
        """Show what a node and all data centres say, and pass edits on."""
        self._show_all = show_all
        self._burn = burn
        self._scrapes = scrapes
        self._editor = editing
        self._status = status

    def build(self) -> applications.Starlette:
        """Return the application."""
        return endpoints.application(
            [
                routing.Route('/v1/status', self._show_status),
                routing.Route('/v1/deployment', self._show_deployment),
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

    async def _show_deployment(
        self,
        request: requests.Request,
    ) -> responses.Response:
        return endpoints.reply(result.Ok(await self._show_all()))

    async def _show_burn(
        self,
        request: requests.Request,
    ) -> responses.Response:
        return endpoints.reply(result.Ok(self._burn()))

    async def _view(self, request: requests.Request) -> responses.Response:
        section = request.path_params['section']
        return endpoints.reply(await self._editor.view(section))
