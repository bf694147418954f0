"""How long after it was read a change in the store may be put off.

Load pattern: a gateway reads a change up to seconds after the store has
acknowledged it, as when the gateway that it follows is cut off from the store,
and the time within which the change must take effect began with the
acknowledgement. The change is younger than the last confirmation of the
content without it. Content that is older than that whole time was read when the
store had been unavailable: the time then begins with its return.
"""


def max_delay_s(
    wanted_s: float, age_s: float, bound_s: float, margin_s: float
) -> float:
    """Return for how long a change that was just read may be put off.

    The result is ``wanted_s`` at most. The content without the change was
    confirmed ``age_s`` ago, and the change must take effect ``margin_s`` before
    ``bound_s`` has passed since its acknowledgement. All are in seconds.
    """
    if age_s >= bound_s:
        return wanted_s
    return max(0, min(wanted_s, bound_s - margin_s - age_s))
