"""Settings for answering a search although shards are missing."""

import typing

import msgspec

_Share = typing.Annotated[
    float,
    msgspec.Meta(gt=0, le=1, description='share of 1'),
]


class AnswerPolicy(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Answer at the deadline, or at a coverage floor after some patience.

    With ``when: deadline`` the response waits for every shard until the
    deadline. With ``when: coverage`` it is sent as soon as ``patience_ms``
    have passed and the share of covered shards is at least ``floor``.
    """

    when: typing.Literal['deadline', 'coverage'] = 'deadline'
    floor: _Share = 0.99
    patience_ms: typing.Annotated[
        float,
        msgspec.Meta(ge=0, description='milliseconds'),
    ] = 150
