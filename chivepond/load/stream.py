"""The schema of one stream of requests in an experiment file."""

import typing

import msgspec

#: The longest that a trial may take, in seconds.
MAX_S = 600
_MAX_PER_S = 2000

_Rate = typing.Annotated[float, msgspec.Meta(gt=0, le=_MAX_PER_S)]
_Seconds = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_S)]


class Stream(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Requests to one service that arrive independently of responses.

    ``per_s`` is the mean rate. Poisson arrivals are independent; with
    ``burst``, ``burst_size`` requests arrive at once. The stream runs from
    ``from_s`` until ``until_s``; zero means the end of the trial.
    ``delay_ms`` is the one-way delay between a caller and its entry host.
    Commands are non-idempotent requests, each with its own key.
    """

    name: str
    service: str
    per_s: _Rate
    sends: typing.Literal['searches', 'commands'] = 'searches'
    arrivals: typing.Literal['poisson', 'burst'] = 'poisson'
    burst_size: typing.Annotated[int, msgspec.Meta(ge=1, le=1000)] = 10
    from_s: _Seconds = 0
    until_s: _Seconds = 0
    callers: typing.Annotated[int, msgspec.Meta(ge=1, le=1000)] = 1
    query: str = 'Gurung'
    limit: typing.Annotated[int, msgspec.Meta(ge=1, le=1000)] = 3
    request_class: str = 'interactive'
    delay_ms: typing.Annotated[float, msgspec.Meta(ge=0, le=1000)] = 1
