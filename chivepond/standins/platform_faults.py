"""Faults of the stand-in platform."""

import msgspec


class PlatformFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults in force; all off by default.

    ``down`` holds all calls until it is cleared; ``slow_ms`` delays them.
    ``lose_replies`` is the number of next writes that take effect without a
    reply. ``host_lag_ms`` delays the list of hosts. ``calls_per_s`` limits
    the call rate; zero means no limit.
    """

    down: bool = False
    slow_ms: int = 0
    lose_replies: int = 0
    host_lag_ms: int = 0
    calls_per_s: int = 0
