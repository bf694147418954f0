"""Search settings of one service."""

import typing

import msgspec

from chivepond.settings import answer_policy, service_objectives

_Weight = typing.Annotated[
    int,
    msgspec.Meta(ge=1, le=1000, description='relative weight'),
]


class SearchService(
    msgspec.Struct,
    forbid_unknown_fields=True,
    frozen=True,
    kw_only=True,
):
    """Deadlines, classes of requests and objectives of a service."""

    deadline_ms: typing.Annotated[
        float,
        msgspec.Meta(ge=10, le=60000, description='milliseconds'),
    ] = 250
    max_limit: typing.Annotated[
        int,
        msgspec.Meta(ge=1, le=1000, description='hits'),
    ] = 100
    answer: answer_policy.AnswerPolicy = answer_policy.AnswerPolicy()
    weight_by_class: dict[str, _Weight] = msgspec.field(
        default_factory=lambda: {'interactive': 10, 'batch': 1},
    )
    objectives: service_objectives.Objectives = service_objectives.Objectives()
