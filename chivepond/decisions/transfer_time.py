"""How long to wait for a reply whose first bytes have arrived.

Load pattern: a configuration with thousands of routes takes most of a second
on a link of 10 Mbit/s, and longer beside another transfer. With a fixed
timeout the transfer is aborted, restarts at its first byte, and never
completes.
"""

#: How long a reply may stall once it has begun, in seconds: a few
#: retransmissions of a lost packet.
STALL_S = 1.0
#: How long after its deadline a reply is aborted although data still arrives,
#: in seconds; another source is tried then.
LONGEST_S = 10.0


def wait_until(deadline: float, received_at: float) -> float:
    """Return when to abort a reply whose last bytes came at ``received_at``.

    All times are in seconds on the steady clock.
    """
    return min(max(deadline, received_at + STALL_S), deadline + LONGEST_S)
