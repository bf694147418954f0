"""One variant of an experiment."""

import msgspec


class Variant(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A name, and what differs from the experiment's scenario.

    The keys of ``set`` are places in it, such as ``streams.0.per_s``.
    Its ratios are to the variant named in ``against``, or to the first.
    """

    name: str
    against: str = ''
    set: dict[str, object] = msgspec.field(default_factory=dict)
