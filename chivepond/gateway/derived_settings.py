"""Derives what the components of a gateway need from its settings."""

from collections.abc import Callable

from chivepond.decisions import hedge_budget
from chivepond.gateway import peer_record, reply_buffers
from chivepond.settings import gateway_settings
from chivepond.transport import address, request_memory
from chivepond.wire import gateway_entry

_BYTES_PER_MB = 1048576
#: Part of the memory that unread bytes of one listener's connections may use
#: in the kernel, 0 to 1; the kernel uses up to twice as much.
_RECEIVE_BUFFER_SHARE = 0.1
#: Bounds of the receive buffer of one connection, in bytes.
_MIN_RECEIVE_BUFFER = 8192
_MAX_RECEIVE_BUFFER = 65536


def own_record(
    settings: gateway_settings.GatewaySettings,
) -> peer_record.PeerRecord:
    """Return the record of this gateway itself."""
    return peer_record.PeerRecord(
        settings.node_id,
        address.parse(settings.peers).unwrap(),
        settings.data_centre,
        settings.link_mbps,
    )


def own_entry(
    settings: gateway_settings.GatewaySettings,
    own_address: address.Address,
) -> gateway_entry.GatewayEntry:
    """Return the store entry of this gateway with its bound address."""
    return gateway_entry.GatewayEntry(
        str(own_address),
        settings.data_centre,
        settings.link_mbps,
    )


def metrics_address(
    settings: gateway_settings.GatewaySettings,
) -> address.Address:
    """Return the metrics address, on the IP address that clients use."""
    client_address = address.parse(settings.callers).unwrap()
    return address.Address(client_address.ip, settings.metrics_port)


def seeds(
    settings: gateway_settings.GatewaySettings,
) -> list[address.Address]:
    """Return the seeds other than this gateway; skips unparsable ones."""
    parsed = (address.parse(text) for text in settings.seeds)
    return [
        seed.unwrap()
        for seed in parsed
        if seed.is_ok() and str(seed.unwrap()) != settings.peers
    ]


def is_seed(settings: gateway_settings.GatewaySettings) -> bool:
    """Return whether this gateway is a seed, or no seeds are configured."""
    return settings.peers in settings.seeds or not settings.seeds


def buffers(
    settings: gateway_settings.GatewaySettings,
) -> reply_buffers.ReplyBuffers:
    """Return the limit on the memory of replies in progress."""
    return reply_buffers.ReplyBuffers(settings.memory_mb)


def memory_of_requests(
    settings: gateway_settings.GatewaySettings,
    on_refusal: Callable[[int], None],
) -> request_memory.RequestMemory:
    """Return the limit on the memory of clients' requests and responses."""
    return request_memory.RequestMemory(
        settings.memory_mb, settings.request_memory_share, on_refusal
    )


def receive_buffer_bytes(
    settings: gateway_settings.GatewaySettings,
    connections: int,
) -> int:
    """Return what may lie unread in the kernel for each connection, in bytes.

    ``connections`` is the maximum number of connections of the listener.
    """
    all_bytes = _RECEIVE_BUFFER_SHARE * settings.memory_mb * _BYTES_PER_MB
    each_bytes = int(all_bytes / max(1, connections))
    return min(_MAX_RECEIVE_BUFFER, max(_MIN_RECEIVE_BUFFER, each_bytes))


def budget_limits(
    settings: gateway_settings.GatewaySettings,
) -> hedge_budget.BudgetLimits:
    """Return the configured limits on second sends."""
    return hedge_budget.BudgetLimits(
        share=settings.second_send_share,
        burst=settings.second_send_burst,
        span_s=settings.second_send_span_s,
    )
