"""Estimates of the upstream's service time from recent calls."""

import dataclasses

from burdockdeal.admission import state

#: Number of recent service times in the median. It is small because load
#: shifts within milliseconds.
SAMPLES = 15

_SMOOTHING = 0.2


def record_start(times: state.ServiceTimes, now: float) -> state.ServiceTimes:
    """Record that a call started.

    :param now: monotonic time in seconds.
    """
    return state.ServiceTimes(
        times.samples, times.service_s, times.upload_s, now
    )


def record_end(
    times: state.ServiceTimes, held_s: float, *, streamed: bool, now: float
) -> state.ServiceTimes:
    """Record that a call ended.

    :param held_s: how long the call held its slot, in seconds.
    :param streamed: whether its body was streamed. The time then depends
        on how fast the caller sends and says nothing about the upstream,
        so it is kept apart.
    :param now: monotonic time in seconds.
    """
    if streamed:
        before = times.upload_s or held_s
        upload_s = before + _SMOOTHING * (held_s - before)
        return dataclasses.replace(times, upload_s=upload_s, changed_at=now)
    samples = (*times.samples[1 - SAMPLES :], held_s)
    return state.ServiceTimes(
        samples=samples,
        service_s=sorted(samples)[len(samples) // 2],
        upload_s=times.upload_s,
        changed_at=now,
    )


def estimate_service_s(
    times: state.ServiceTimes, *, running: int, slots: int, now: float
) -> float:
    """Estimate how long a call takes that starts now.

    While every slot is taken and no call ends, the calls in flight have
    all run at least since the last start or end, so the estimate grows
    with that time even if earlier calls were faster.

    :param running: calls in flight.
    :param slots: calls that may run concurrently.
    :param now: monotonic time in seconds.
    :returns: seconds; 0 before the first call has ended.
    """
    if not times.samples or running < slots:
        return times.service_s
    return max(times.service_s, now - times.changed_at)
