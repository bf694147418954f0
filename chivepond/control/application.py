"""The HTTP API of a node for operators."""

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

_ReadDeploymentStatus = Callable[
    [], Awaitable[deployment_status.DeploymentStatus]
]


class OperatorApplication:
    """Serves status, metrics, burn rates and configuration edits."""

    __slots__ = (
        '_burn',
        '_editor',
        '_metrics',
        '_read_deployment_status',
        '_status',
    )

    def __init__(
        self,
        section_editor: editor.Editor,
        status: Callable[[], node_status.NodeStatus],
        read_deployment_status: _ReadDeploymentStatus,
        burn: Callable[[], node_burn.NodeBurn],
        node_metrics: metrics.Metrics,
    ) -> None:
        """Serve the status of the node and all data centres, and the editor."""
        self._read_deployment_status = read_deployment_status
        self._burn = burn
        self._metrics = node_metrics
        self._editor = section_editor
        self._status = status

    def build(self) -> applications.Starlette:
        """Return the Starlette application."""
        return endpoints.application(
            [
                routing.Route('/v1/status', self._show_status),
                routing.Route('/v1/deployment', self._show_deployment),
                routing.Route('/v1/burn', self._show_burn),
                self._metrics.route(),
                routing.Route('/v1/config/{section}', self._show_section),
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
        return endpoints.reply(result.Ok(await self._read_deployment_status()))

    async def _show_burn(
        self,
        request: requests.Request,
    ) -> responses.Response:
        return endpoints.reply(result.Ok(self._burn()))

    async def _show_section(
        self, request: requests.Request
    ) -> responses.Response:
        section = request.path_params['section']
        return endpoints.reply(await self._editor.view(section))
