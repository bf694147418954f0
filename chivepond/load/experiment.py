"""The schema of an experiment file."""

import typing

import msgspec

from chivepond.load import variant

_MAX_RUNS = 20
_Runs = typing.Annotated[int, msgspec.Meta(ge=1, le=_MAX_RUNS)]


class Experiment(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Variants of one scenario; the first is the default baseline.

    ``short`` holds overrides of the scenario for the short form, by dotted
    path. ``runs`` and ``short_runs`` are how often each variant runs.
    """

    name: str
    question: str
    scenario: dict[str, object]
    variants: list[variant.Variant]
    goal: str = ''
    runs: _Runs = 5
    short_runs: _Runs = 1
    short: dict[str, object] = msgspec.field(default_factory=dict)
