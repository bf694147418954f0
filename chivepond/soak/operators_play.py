"""Operators who edit, and what came in force on each node."""

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
EVERYWHERE = 'an accepted configuration is in force everywhere in seconds'

_TIMEOUT_S = 3
_EVERYWHERE_S = 8
_POLL_S = 0.1
_WINDOWS_MS = (0, 1, 2, -5)
_CONNECTIONS = 2


class OperatorsPlay:
    """Edits the capacity section, now and then with a value that is wrong."""

    __slots__ = ('_clients', '_deployed', '_highest_by_node', '_random')

    def __init__(
        self,
        deployed: embedded.EmbeddedDeployment,
        rng: random.Random,
    ) -> None:
        """Edit through any node."""
        self._deployed = deployed
        self._random = rng
        self._highest_by_node: dict[str, int] = {}
        self._clients = [
            client.Client(made.operator_server.address, _CONNECTIONS)
            for made in deployed.node_by_id.values()
        ]

    async def edit(self) -> None:
        """Read the section and write it back with another batch window."""
        to = self._random.choice(self._clients)
        seen = await exchange.get(
            section_view.SectionView,
            to,
            '/v1/config/capacity',
            _TIMEOUT_S,
        )
        match seen:
            case result.Ok(view):
                await self._write(view)

    def reverted(self) -> Iterator[str]:
        """Yield each node whose revision in force is lower than before."""
        for node_id, made in self._deployed.node_by_id.items():
            revision = made.configuration.revision
            highest = self._highest_by_node.get(node_id, 0)
            if revision < highest:
                yield f'{node_id} went from {highest} to {revision}'
            self._highest_by_node[node_id] = max(revision, highest)

    async def behind(self) -> list[str]:
        """Return nodes that lack the accepted revision after some seconds."""
        for _ in range(int(_EVERYWHERE_S / _POLL_S)):
            late = self._behind_now()
            if not late:
                return []
            await asyncio.sleep(_POLL_S)
        return late

    def _behind_now(self) -> list[str]:
        kind, name = kinds.DEPLOYMENT_ACCEPTED.split('/')
        stored = self._deployed.platform.objects.read(kind, name).unwrap()
        accepted = msgspec.json.decode(stored.body)['revision']
        return [
            f'{node_id} has {made.configuration.revision}, not {accepted}'
            for node_id, made in self._deployed.node_by_id.items()
            if made.configuration.revision != accepted
        ]

    async def _write(self, view: section_view.SectionView) -> None:
        body = msgspec.json.decode(view.body)
        for service in body['services'].values():
            service['batch_window_ms'] = self._random.choice(_WINDOWS_MS)
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
