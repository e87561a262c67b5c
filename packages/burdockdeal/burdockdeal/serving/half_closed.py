"""Whether a client that has closed its sending side is still there."""

import asyncio
from collections import abc

#: An interim response, which every HTTP/1.1 client skips.
INTERIM_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"

#: Seconds between interim responses to a client that has closed its sending
#: side: first a network round trip, then longer.
_FIRST_INTERVALS_S = (0.02, 0.1)
_INTERVAL_S = 0.5


def probe(
    loop: asyncio.AbstractEventLoop,
    write_interim: abc.Callable[[], bool],
    count: int = 0,
) -> None:
    """Write interim responses at intervals.

    :param write_interim: writes one, and returns whether to go on.
    :param count: how many were written.
    """
    if not write_interim():
        return
    intervals = _FIRST_INTERVALS_S
    interval_s = intervals[count] if count < len(intervals) else _INTERVAL_S
    loop.call_later(interval_s, probe, loop, write_interim, count + 1)
