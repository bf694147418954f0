"""What one trial runs: a deployment, its load and its faults."""

import typing

import msgspec

from chivepond.load import fault_step, stream
from chivepond.standins import deployment_plan


class Scenario(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A bounded trial; ``warm_up_s`` of it are not counted.

    With ``route: direct`` each entry sends every sub-query to the searchers
    by itself and retries what they shed: the baseline without owners. With
    ``addresses`` the load goes to nodes that run already, ``ip:port`` each.
    ``timeout_s`` is when a caller gives up; ``balancer_lag_s`` how long the
    balancer still sends to an entry host that is gone.
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
