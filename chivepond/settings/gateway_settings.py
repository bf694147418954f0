"""The settings of one gateway."""

import typing

import msgspec

from chivepond.decisions import burst_share
from chivepond.settings import mechanism, setting_error
from chivepond.transport import address

_Address = typing.Annotated[str, msgspec.Meta(description='ip:port')]
_Seconds = typing.Annotated[float, msgspec.Meta(ge=0, description='seconds')]
_Ms = typing.Annotated[float, msgspec.Meta(gt=0, description='milliseconds')]
_Port = typing.Annotated[
    int,
    msgspec.Meta(ge=0, le=65535, description='port'),
]
_MS_PER_S = 1000
_Count = typing.Annotated[int, msgspec.Meta(ge=1)]
_Share = typing.Annotated[float, msgspec.Meta(ge=0, le=1)]
_MemoryShare = typing.Annotated[float, msgspec.Meta(ge=0.05, le=0.5)]
_Mechanisms = typing.Annotated[
    list[mechanism.Mechanism],
    msgspec.Meta(description='names of mechanisms, see OPERATIONS.md'),
]


class GatewaySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Where a gateway is, what it listens on, and its bounds.

    ``seeds`` holds the addresses of a few other gateways, which are queried
    while the store can't be read; each gateway listens for them on ``peers``.
    ``metrics_port`` is opened on the address of ``callers``. Requests that
    are not read or served yet, and responses that clients have not read, use
    at most ``request_memory_share`` of ``memory_mb``. New routes must take
    effect within ``routes_bound_ms``, and a searcher's notice that it is
    leaving within ``leaving_bound_ms``. A gateway that was not registered
    before uses its part of the burst of second sends after
    ``entry_settle_s``, by when all others know it. ``is_first_start`` means
    that no gateway has run before, so that no client waits yet.
    ``switched_off`` names the mechanisms to disable; a
    reload of the settings applies it as well.
    """

    node_id: str
    data_centre: str
    region_by_data_centre: dict[str, str]
    callers: _Address
    readiness: _Address
    store: _Address
    peers: _Address
    seeds: list[str] = msgspec.field(default_factory=list)
    metrics_port: _Port = 9464
    memory_mb: _Count = 300
    request_memory_share: _MemoryShare = 0.25
    max_descriptors: _Count = 1024
    link_mbps: float = 1000
    stop_grace_s: _Seconds = 6
    routes_bound_ms: _Ms = 3000
    leaving_bound_ms: _Ms = 3000
    second_send_share: _Share = 0.2
    second_send_burst: float = 10
    second_send_span_s: _Seconds = 10
    entry_settle_s: _Seconds = burst_share.MAX_LIST_AGE_S
    is_first_start: bool = False
    switched_off: _Mechanisms = msgspec.field(default_factory=list)
    log_level: typing.Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = 'INFO'

    @property
    def update_bound_s(self) -> float:
        """The shorter of the two bounds for applying updates, in seconds."""
        return min(self.routes_bound_ms, self.leaving_bound_ms) / _MS_PER_S

    @property
    def leaving_bound_s(self) -> float:
        """The bound for searchers that leave, in seconds."""
        return self.leaving_bound_ms / _MS_PER_S

    def find_error(self) -> setting_error.SettingError | None:
        """Return the first invalid address or missing region, if any."""
        for name in ('callers', 'readiness', 'peers', 'store'):
            parsed = address.parse(getattr(self, name))
            if parsed.is_err():
                error = parsed.unwrap_err()
                return setting_error.SettingError(
                    setting=name,
                    reason=error.message,
                    remedy=error.remedy,
                )
        if self.data_centre in self.region_by_data_centre:
            return None
        return setting_error.SettingError(
            setting='data_centre',
            reason=f'{self.data_centre} has no region',
            remedy='add it to `region_by_data_centre`',
        )
