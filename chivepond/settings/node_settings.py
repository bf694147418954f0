"""The settings of one node."""

import typing

import msgspec

from chivepond.settings import setting_error
from chivepond.transport import address

_Address = typing.Annotated[str, msgspec.Meta(description='ip:port')]
_Ms = typing.Annotated[float, msgspec.Meta(ge=0, description='milliseconds')]
_Count = typing.Annotated[int, msgspec.Meta(ge=1)]
_MemoryShare = typing.Annotated[float, msgspec.Meta(ge=0.05, le=0.5)]
_Name = typing.Annotated[
    str,
    msgspec.Meta(
        min_length=1,
        max_length=64,
        pattern='^[a-z0-9][a-z0-9-]*$',
        description='name: small letters, digits, hyphens',
    ),
]


class NodeSettings(
    msgspec.Struct,
    forbid_unknown_fields=True,
    frozen=True,
    kw_only=True,
):
    """Where a node is, whom it serves, and its own intervals.

    ``seeds`` holds the peer addresses of a few other nodes. They are used
    while no list of hosts is known, so that a node can find its peers if it
    starts while the platform is unavailable.

    ``secret`` is the key that signs messages between nodes. With ``unsigned``
    set, messages have no signature, which is logged. If ``operators_token``
    is set, requests to the operators' address must carry it.

    Requests that have no response yet, and responses that clients have not
    read, use at most ``request_memory_share`` of ``memory_mb``. Connections to
    one address use at most half of ``max_descriptors``, or of the descriptors
    that the process may open if these are fewer.
    """

    node_id: _Name
    data_centre: _Name
    region: _Name
    callers: _Address
    peers: _Address
    operators: _Address
    platform: _Address
    seeds: dict[_Name, _Address] = msgspec.field(default_factory=dict)
    roles: list[typing.Literal['entry', 'owner']] = msgspec.field(
        default_factory=lambda: ['entry', 'owner'],
    )
    secret: str = ''
    unsigned: bool = False
    operators_token: str = ''
    log_format: typing.Literal['text', 'json'] = 'text'
    log_level: typing.Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = 'INFO'
    heartbeat_ms: _Ms = 500
    heartbeat_timeout_ms: _Ms = 300
    suspect_after_ms: _Ms = 1500
    remove_after_ms: _Ms = 3000
    platform_timeout_ms: _Ms = 1000
    watch_ms: _Ms = 20000
    poll_ms: _Ms = 30000
    balancer_lag_ms: _Ms = 1000
    shutdown_grace_ms: _Ms = 10000
    memory_mb: _Count = 300
    request_memory_share: _MemoryShare = 0.25
    max_descriptors: _Count = 65536

    def find_error(self) -> setting_error.SettingError | None:
        """Return the first invalid address or a missing secret, if any."""
        for name in ('callers', 'peers', 'operators', 'platform'):
            parsed = address.parse(getattr(self, name))
            if parsed.is_err():
                error = parsed.unwrap_err()
                return setting_error.SettingError(
                    setting=name,
                    reason=error.message,
                    remedy=error.remedy,
                )
        if self.secret or self.unsigned:
            return None
        return setting_error.SettingError(
            setting='secret',
            reason='neither `secret` nor `unsigned` is set',
            remedy='set the same `secret` on all nodes, or `unsigned: true`'
            ' where only trusted hosts can reach the peers address',
        )
