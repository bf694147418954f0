"""The section of the deployment document that search owners edit."""

import msgspec

from chivepond.settings import search_service


class SearchSection(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The services that callers can search."""

    by_service: dict[str, search_service.SearchService] = msgspec.field(
        default_factory=dict,
        name='services',
    )
