"""The plan of an embedded deployment."""

import msgspec

from chivepond.standins import service_plan


class DeploymentPlan(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Data centres with their nodes, and services with their searchers.

    ``link_ms`` is the one-way delay between data centres; a random delay of
    up to ``link_jitter_ms`` is added to it. ``node`` holds node settings that
    override the defaults.
    """

    services: list[service_plan.ServicePlan]
    data_centres: list[str] = msgspec.field(default_factory=lambda: ['dc-a'])
    nodes_per_data_centre: int = 3
    link_ms: float = 0
    link_jitter_ms: float = 0
    node: dict[str, object] = msgspec.field(default_factory=dict)
    claim_retention_s: int = 86400
