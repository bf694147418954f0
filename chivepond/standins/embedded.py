"""A whole deployment in one process, for demos, tests and measurements."""

import asyncio
import contextlib
import types
from typing import Self

import msgspec

from chivepond.settings import node_settings
from chivepond.standins import (
    deployment_plan,
    embedded_node,
    placement,
    platform,
    searcher,
    service_plan,
)
from chivepond.transport import address
from chivepond.wire import codec, draft_document, draft_section, host

_ANY_PORT = address.Address('127.0.0.1', 0)
_ANY_PORT_TEXT = '127.0.0.1:0'
_READY_POLL_S = 0.02
_FIRST_VERSION = 1

_Component = searcher.SearcherStandin | embedded_node.EmbeddedNode


class EmbeddedDeployment:
    """Platform, searchers and nodes on one event loop, ready once entered."""

    __slots__ = (
        '_exit_stack',
        'node_by_id',
        'plan',
        'platform',
        'searcher_by_id',
    )

    def __init__(self, plan: deployment_plan.DeploymentPlan) -> None:
        """Prepare the components of ``plan``; sockets are bound on entry."""
        self.plan = plan
        self.node_by_id: dict[str, embedded_node.EmbeddedNode] = {}
        self.searcher_by_id: dict[str, searcher.SearcherStandin] = {}
        self.platform = platform.PlatformStandin(_ANY_PORT)
        self._exit_stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Start everything, and wait until every node is ready."""
        await self._exit_stack.enter_async_context(self.platform)
        for service in self.plan.services:
            self._make_searchers(service)
            record = placement.index_record_of(
                self.plan, service, _FIRST_VERSION
            )
            self.platform.objects.publish(
                'index',
                service.name,
                codec.to_raw(record),
            )
        self.platform.objects.publish(
            'deployment',
            'draft',
            codec.to_raw(draft_document_of(self.plan)),
        )
        for data_centre in self.plan.data_centres:
            for number in range(self.plan.nodes_per_data_centre):
                self._make_node(f'{data_centre}-{number}', data_centre)
        await self.publish_hosts()
        await self._start_all(list(self.searcher_by_id.values()))
        await self._start_all(list(self.node_by_id.values()))
        await self.wait_ready()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Stop everything, nodes first."""
        await self._exit_stack.aclose()

    async def publish_hosts(self) -> None:
        """Publish all nodes and searchers in the platform's list of hosts."""
        hosts = [
            host.Host(
                host_id=node_id,
                role='node',
                data_centre=node.settings.data_centre,
                region=node.settings.region,
                address=str(node.peer_server.address),
            )
            for node_id, node in self.node_by_id.items()
        ]
        for service in self.plan.services:
            hosts.extend(self._searcher_hosts(service))
        await self.platform.set_hosts(hosts)

    async def wait_ready(self) -> None:
        """Wait until every node is ready."""
        while any(node.waits_for() for node in self.node_by_id.values()):
            await asyncio.sleep(_READY_POLL_S)

    def caller_address(self, node_id: str) -> address.Address:
        """Return the address at which a node accepts callers."""
        return self.node_by_id[node_id].caller_server.address

    def _searcher_hosts(
        self,
        service: service_plan.ServicePlan,
    ) -> list[host.Host]:
        return [
            host.Host(
                host_id=placed.searcher_id,
                role='searcher',
                data_centre=placed.data_centre,
                region=placed.data_centre,
                address=str(self.searcher_by_id[placed.searcher_id].address),
                service=service.name,
                replica_group=placed.group,
            )
            for placed in placement.service_placements(self.plan, service)
        ]

    async def _start_all(self, components: list[_Component]) -> None:
        """Start components concurrently, and register their concurrent stop.

        Each takes some tenths of a second to start and to stop.
        """
        self._exit_stack.push_async_callback(_stop_all, components)
        await asyncio.gather(
            *(component.__aenter__() for component in components)
        )

    def _make_searchers(
        self,
        service: service_plan.ServicePlan,
    ) -> None:
        for placed in placement.service_placements(self.plan, service):
            seed = len(self.searcher_by_id)
            standin = searcher.SearcherStandin(
                service.searcher_profile(placed.searcher_id, seed),
                _ANY_PORT,
                [_FIRST_VERSION],
            )
            self.searcher_by_id[placed.searcher_id] = standin

    def _make_node(self, node_id: str, data_centre: str) -> None:
        base_settings = {
            'node_id': node_id,
            'data_centre': data_centre,
            'region': data_centre,
            'callers': _ANY_PORT_TEXT,
            'peers': _ANY_PORT_TEXT,
            'operators': _ANY_PORT_TEXT,
            'platform': str(self.platform.address),
            'secret': 'embedded-deployment',
        }
        settings = msgspec.convert(
            base_settings | self.plan.node,
            node_settings.NodeSettings,
        )
        self.node_by_id[node_id] = embedded_node.EmbeddedNode(
            settings,
            self.plan,
        )


async def _stop_all(components: list[_Component]) -> None:
    await asyncio.gather(
        *(component.__aexit__(None, None, None) for component in components),
        return_exceptions=True,
    )


def draft_document_of(
    plan: deployment_plan.DeploymentPlan,
) -> draft_document.DraftDocument:
    """Return the draft document that operators would write for a plan."""
    search = {service.name: service.search for service in plan.services}
    capacity = {service.name: service.capacity for service in plan.services}
    return draft_document.DraftDocument(
        search=_section({'services': search}),
        capacity=_section({'services': capacity}),
        audit=_section({'claim_retention_s': plan.claim_retention_s}),
    )


def _section(body: object) -> draft_section.DraftSection:
    return draft_section.DraftSection(edits=1, body=codec.to_raw(body))
