"""The clock by which deadlines, leases and timeouts are judged."""

import time

# Unlike the monotonic clock, it goes on while the machine is suspended, so
# that a lease that ran out meanwhile has run out.
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def read_seconds() -> float:
    """Read the seconds since the machine's start, suspensions included."""
    return time.clock_gettime(_CLOCK)
