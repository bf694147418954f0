"""The document that describes a deployment."""

import msgspec

from chivepond.settings import audit_section, capacity_section, search_section


class Deployment(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The deployment document, with one section for each team."""

    search: search_section.SearchSection = search_section.SearchSection()
    capacity: capacity_section.CapacitySection = (
        capacity_section.CapacitySection()
    )
    audit: audit_section.AuditSection = audit_section.AuditSection()
