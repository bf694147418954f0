"""How long a reply that has begun to come is waited for.

Load pattern: a configuration of thousands of routes takes most of a second on
a link of 10 Mbit/s, and longer beside another transfer. Given up at a fixed
time it is begun anew at its first byte, and is never whole.
"""

#: How long a reply may stand still once it has begun, in seconds: a few
#: retransmissions of a lost packet.
STALL_S = 1.0
#: How long after its deadline a reply is given up though more of it comes, in
#: seconds: another source is tried then.
LONGEST_S = 10.0


def wait_until(deadline: float, received_at: float) -> float:
    """Return when to give up a reply of which a part came at ``received_at``.

    All times are in seconds on the steady clock.
    """
    return min(max(deadline, received_at + STALL_S), deadline + LONGEST_S)
