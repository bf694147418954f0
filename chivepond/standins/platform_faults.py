"""What is wrong with the stand-in platform."""

import msgspec


class PlatformFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults in force; all off by default.

    ``lose_replies`` is the number of next writes that take effect without a
    reply; ``host_lag_ms`` delays the list of hosts.
    """

    down: bool = False
    slow_ms: int = 0
    lose_replies: int = 0
    host_lag_ms: int = 0
    calls_per_s: int = 0
