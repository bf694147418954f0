"""Capacity settings for the searchers of one service."""

import typing

import msgspec

_Count = typing.Annotated[
    int,
    msgspec.Meta(ge=1, le=1000, description='count'),
]


class CapacityService(
    msgspec.Struct,
    forbid_unknown_fields=True,
    frozen=True,
    kw_only=True,
):
    """Sizes of each searcher, and how much extra load it may get.

    ``hedge_share`` and ``retry_share`` limit hedges and retries to a share of
    the sub-queries sent. A retry after a ``draining`` reply is not counted.
    """

    slots: _Count = 2
    connections: _Count = 25
    max_batch: _Count = 16
    batch_window_ms: typing.Annotated[
        float,
        msgspec.Meta(ge=0, le=50, description='milliseconds'),
    ] = 0
    hedge_share: typing.Annotated[
        float,
        msgspec.Meta(ge=0, le=0.5, description='share of 1'),
    ] = 0.05
    retry_share: typing.Annotated[
        float,
        msgspec.Meta(ge=0, le=1, description='share of 1'),
    ] = 0.1
