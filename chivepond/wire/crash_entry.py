"""What gateways keep in the store of requests that crash searchers."""

import msgspec


class CrashEntry(msgspec.Struct):
    """The crashes under requests with the fingerprint that names it."""

    #: How many searchers crashed, by identifier of the request.
    crashes_by_request: dict[str, int]
    #: When the newest of them was seen, in Unix seconds.
    seen_at: float
