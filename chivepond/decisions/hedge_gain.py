"""Whether a hedge can still bring its part in time.

Load pattern: all copies of some shards are slow at once. A hedge to a copy
that is as slow comes too late as well, takes a slot from a request that would
be in time, and uses up the budget of those that a hedge would help.
"""


def is_worth(expected_s: float, left_s: float) -> bool:
    """Tell whether a response in ``expected_s`` comes while it counts.

    ``left_s`` is the time until the answer is due, in seconds. Where it is
    due already, any response that comes is of use.
    """
    return left_s <= 0 or expected_s <= left_s
