"""Crowds of clients that the servers of a node process do not control."""

import pathlib
import types

import pytest

from chivepond.standins import deployment_plan, service_plan
from chivepond.tests import client_crowds, support
from chivepond.transport import address, bodies

_NODE = 'dc-a-0'
_CLIENTS = 100
_PLAY_S = 5
#: The memory of a small host, and the descriptors of a process by default.
_MEMORY_MB = 300
_MAX_DESCRIPTORS = 1024
_PEER_BYTES = bodies.MAX_PEER_BYTES - 44

#: The address that a crowd connects to, and what its clients send.
_CROWDS = types.MappingProxyType(
    {
        'large-chunks': (
            'callers',
            client_crowds.unfinished_chunks(
                '/v1/search', bodies.MAX_CALLER_BYTES - 1, 32768
            ),
        ),
        'two-byte-chunks': (
            'callers',
            client_crowds.unfinished_chunks(
                '/v1/search', bodies.MAX_CALLER_BYTES - 1, 2
            ),
        ),
        'operators-large-chunks': (
            'operators',
            client_crowds.unfinished_chunks('/v1/config', _PEER_BYTES, 32768),
        ),
        'endless-head': (
            'callers',
            client_crowds.Sent(b'GET /readyz HTTP/1.1\r\n', b'a: b\r\n'),
        ),
        'get-ahead': ('callers', client_crowds.ahead('GET', '/readyz')),
        'post-ahead': ('callers', client_crowds.ahead('POST', '/v1/search')),
        'get-ahead-no-route': ('callers', client_crowds.ahead('GET', '/no')),
        'operators-get-ahead': (
            'operators',
            client_crowds.ahead('GET', '/no'),
        ),
        'peers-get-ahead': ('peers', client_crowds.ahead('GET', '/no')),
        'bodies-ahead-no-route': (
            'callers',
            client_crowds.bodies_ahead('/no', 60000),
        ),
    }
)


async def _play(crowd: str, folder: pathlib.Path) -> None:
    plan = deployment_plan.DeploymentPlan(
        services=[service_plan.ServicePlan(name='desk', index='i', groups=1)],
    )
    side, sent = _CROWDS[crowd]
    async with support.Processes(plan, folder) as deployed:
        process = deployed.node_by_id[_NODE].process
        remote = address.parse(deployed.listens_by_id[_NODE][side]).unwrap()
        async with client_crowds.connected(
            (remote.ip, remote.port), _CLIENTS, sent
        ):
            descriptors = await client_crowds.peak_descriptors(
                process.pid, _PLAY_S
            )
        async with deployed.caller_client(_NODE) as ordinary:
            answer = await support.search(ordinary, 'desk')
        assert process.returncode is None
        assert answer.is_ok(), answer
        assert client_crowds.peak_mb(process.pid) < _MEMORY_MB
        assert descriptors < _MAX_DESCRIPTORS


@pytest.mark.parametrize('crowd', _CROWDS)
def test_a_node_bears_a_crowd_within_its_memory(crowd, tmp_path):
    """Guards against clients that make a node run out of memory."""
    support.run(_play(crowd, tmp_path))
