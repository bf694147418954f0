"""The section of the document that capacity owners edit."""

import msgspec

from chivepond.settings import capacity_service


class CapacitySection(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Sizes of the searchers, by service."""

    by_service: dict[str, capacity_service.CapacityService] = msgspec.field(
        default_factory=dict,
        name='services',
    )
