"""What is wrong with a stand-in searcher."""

import msgspec


class SearcherFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults in force; all off by default.

    ``frozen`` answers nothing at all. ``silent`` makes the connections open
    when it is set silent for good while new ones work. ``late_ms`` delays
    replies without holding a slot. ``twice`` sends each line twice.
    ``cold`` works as slowly as one that just started.
    ``wrong_version`` replies for another version than the one asked.
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
