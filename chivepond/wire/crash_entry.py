"""The store entry for requests that crash searchers."""

import msgspec


class CrashEntry(msgspec.Struct):
    """Crashes from requests with one fingerprint, the name of the entry."""

    #: Number of searchers that crashed, by request identifier.
    crashes_by_request: dict[str, int]
    #: Time at which the latest crash was observed, in Unix seconds.
    seen_at: float
