"""The searchers and shards of one service of an embedded deployment."""

import msgspec

from chivepond.standins import searcher_profile


class ServicePlan(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Replica groups of searchers, each with shards of its own.

    Each group is placed in ``copies`` data centres, with ``replicas``
    searchers in each. ``search`` and ``capacity`` are the service's parts of
    these sections of the deployment document. ``profile`` holds profile
    fields of the searchers that override the defaults.
    """

    name: str
    index: str
    groups: int = 4
    replicas: int = 2
    shards_per_group: int = 1
    copies: int = 1
    search: dict[str, object] = msgspec.field(default_factory=dict)
    capacity: dict[str, object] = msgspec.field(default_factory=dict)
    profile: dict[str, object] = msgspec.field(default_factory=dict)

    def searcher_profile(
        self,
        searcher_id: str,
        seed: int,
    ) -> searcher_profile.SearcherProfile:
        """Return the profile of one searcher."""
        required = {
            'searcher_id': searcher_id,
            'service': self.name,
            'seed': seed,
        }
        return msgspec.convert(
            self.profile | required,
            searcher_profile.SearcherProfile,
        )
