"""Faults of a stand-in searcher."""

import msgspec


class SearcherFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults in force; all off by default.

    ``frozen`` delays all replies until it is cleared. ``silent``
    permanently blocks the connections that are open when it is set; new ones
    work. ``late_ms`` delays replies without holding a slot. ``twice``
    sends each reply line twice. ``wrong_version`` replies for the next index
    version. ``draining`` and ``shedding`` refuse requests. ``cold`` slows work
    as after a start. ``slow_factor`` multiplies the work time. ``false_load``
    reports no busy slots.
    """

    frozen: bool = False
    silent: bool = False
    late_ms: float = 0
    twice: bool = False
    wrong_version: bool = False
    draining: bool = False
    shedding: bool = False
    cold: bool = False
    slow_factor: float = 1
    false_load: bool = False
