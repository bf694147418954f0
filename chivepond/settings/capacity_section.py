"""The section of the deployment document that capacity owners edit."""

import msgspec

from chivepond.settings import capacity_service


class CapacitySection(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Capacity settings of the searchers, by service."""

    by_service: dict[str, capacity_service.CapacityService] = msgspec.field(
        default_factory=dict,
        name='services',
    )
