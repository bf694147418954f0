"""The scenario of a trial: a deployment, its load and its faults."""

import typing

import msgspec

from chivepond.load import fault_step, stream
from chivepond.standins import deployment_plan


class Scenario(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A trial of bounded length; figures exclude the first ``warm_up_s``.

    With ``route: direct`` each entry host sends sub-queries directly to the
    searchers and retries those they shed: the baseline without owners. With
    ``addresses`` (``ip:port`` each) the load goes to running nodes.
    ``timeout_s`` is the timeout of a caller; ``balancer_lag_s`` is how long
    the balancer keeps sending to an entry host that was lost.
    """

    seconds: typing.Annotated[float, msgspec.Meta(gt=0, le=stream.MAX_S)]
    streams: list[stream.Stream]
    deployment: deployment_plan.DeploymentPlan | None = None
    addresses: list[str] = msgspec.field(default_factory=list)
    route: typing.Literal['owners', 'direct'] = 'owners'
    faults: list[fault_step.FaultStep] = msgspec.field(default_factory=list)
    warm_up_s: typing.Annotated[float, msgspec.Meta(ge=0, le=60)] = 0.5
    timeout_s: typing.Annotated[float, msgspec.Meta(gt=0, le=60)] = 3
    balancer_lag_s: typing.Annotated[float, msgspec.Meta(ge=0, le=60)] = 1
    seed: int = 1
