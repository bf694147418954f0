"""The schema of one variant in an experiment file."""

import msgspec


class Variant(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A name and overrides of the experiment's scenario.

    The keys of ``set`` are dotted paths, such as ``streams.0.per_s``. Ratios
    are relative to the variant named in ``against``, by default the first.
    """

    name: str
    against: str = ''
    set: dict[str, object] = msgspec.field(default_factory=dict)
