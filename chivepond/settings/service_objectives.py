"""The service-level objectives of one service."""

import typing

import msgspec

_Share = typing.Annotated[
    float,
    msgspec.Meta(gt=0, lt=1, description='share of 1'),
]


class Objectives(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Shares of requests that must be in time, whole, and not refused."""

    latency_ms: typing.Annotated[
        float,
        msgspec.Meta(gt=0, description='milliseconds'),
    ] = 270
    latency: _Share = 0.99
    coverage: _Share = 0.99
    availability: _Share = 0.999
