"""Whether a hedge can still get its part in time.

Load pattern: all replicas of some shards are slow at once. A hedge to an
equally slow replica is late as well, takes a slot from a request that would be
in time, and uses up the budget of requests that a hedge would help.
"""


def is_worth(expected_s: float, remaining_s: float) -> bool:
    """Tell whether a response expected in ``expected_s`` arrives in time.

    ``remaining_s`` is the time until the answer is due, in seconds. If it is
    already due, any response is useful.
    """
    return remaining_s <= 0 or expected_s <= remaining_s
