"""Edits the configuration, and checks the revision in force on each node."""

import asyncio
import random
from collections.abc import Iterator

import msgspec
import result

from chivepond.object_store import kinds
from chivepond.standins import embedded
from chivepond.transport import client, exchange
from chivepond.wire import edit_result, section_edit, section_view

NEVER_REVERTS = 'an accepted configuration never reverts'
IN_FORCE_EVERYWHERE = (
    'an accepted configuration is in force on every node within seconds'
)

_TIMEOUT_S = 3
_ROLLOUT_BOUND_S = 8
_POLL_S = 0.1
#: Batch windows that edits draw from; nodes must refuse -5.
_BATCH_WINDOWS_MS = (0, 1, 2, -5)
_CONNECTIONS = 2


class ConfigurationEditor:
    """Edits the capacity section, at times with an invalid batch window."""

    __slots__ = (
        '_clients',
        '_deployment',
        '_highest_revision_by_node_id',
        '_random',
    )

    def __init__(
        self,
        deployment: embedded.EmbeddedDeployment,
        rng: random.Random,
    ) -> None:
        """Send each edit to a random node of ``deployment``."""
        self._deployment = deployment
        self._random = rng
        self._highest_revision_by_node_id: dict[str, int] = {}
        self._clients = [
            client.Client(node.operator_server.address, _CONNECTIONS)
            for node in deployment.node_by_id.values()
        ]

    async def edit(self) -> None:
        """Read the capacity section, and write it with a new batch window."""
        node_client = self._random.choice(self._clients)
        response = await exchange.get(
            section_view.SectionView,
            node_client,
            '/v1/config/capacity',
            _TIMEOUT_S,
        )
        match response:
            case result.Ok(view):
                await self._write(view)

    def find_reverted(self) -> Iterator[str]:
        """Yield a text for each node whose revision in force has decreased."""
        for node_id, node in self._deployment.node_by_id.items():
            revision = node.configuration.revision
            highest_revision = self._highest_revision_by_node_id.get(node_id, 0)
            if revision < highest_revision:
                yield f'{node_id} went from {highest_revision} to {revision}'
            self._highest_revision_by_node_id[node_id] = max(
                revision, highest_revision
            )

    async def wait_for_rollout(self) -> list[str]:
        """Wait until every node has the accepted revision.

        Return a text for each node that lacks it after eight seconds.
        """
        for _ in range(int(_ROLLOUT_BOUND_S / _POLL_S)):
            outdated = self._outdated_nodes()
            if not outdated:
                return []
            await asyncio.sleep(_POLL_S)
        return outdated

    def _outdated_nodes(self) -> list[str]:
        kind, name = kinds.DEPLOYMENT_ACCEPTED.split('/')
        accepted_object = self._deployment.platform.objects.read(
            kind, name
        ).unwrap()
        accepted_revision = msgspec.json.decode(accepted_object.body)[
            'revision'
        ]
        return [
            f'{node_id} has {node.configuration.revision}, '
            f'not {accepted_revision}'
            for node_id, node in self._deployment.node_by_id.items()
            if node.configuration.revision != accepted_revision
        ]

    async def _write(self, view: section_view.SectionView) -> None:
        body = msgspec.json.decode(view.body)
        for service in body['services'].values():
            service['batch_window_ms'] = self._random.choice(_BATCH_WINDOWS_MS)
        await exchange.post(
            edit_result.EditResult,
            self._random.choice(self._clients),
            '/v1/config',
            section_edit.SectionEdit(
                section=view.section,
                base_edits=view.edits,
                body=msgspec.Raw(msgspec.json.encode(body)),
            ),
            _TIMEOUT_S,
        )
