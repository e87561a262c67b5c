"""Estimates of how fast the upstream works, from what it did lately."""

import dataclasses

from burdockdeal.admission import state

#: Service times that the median is taken over: few, since load shifts
#: within milliseconds.
SAMPLES = 15

_SMOOTHING = 0.2


def note_start(pace: state.Pace, now: float) -> state.Pace:
    """Take in that a call started."""
    return state.Pace(pace.samples, pace.service_s, pace.upload_s, now)


def note_end(
    pace: state.Pace, held_s: float, *, streamed: bool, now: float
) -> state.Pace:
    """Take in that a call ended.

    :param held_s: how long it held its slot, in seconds.
    :param streamed: whether its body was streamed; its caller's pace then
        says nothing about the upstream's.
    """
    if streamed:
        before = pace.upload_s or held_s
        upload_s = before + _SMOOTHING * (held_s - before)
        return dataclasses.replace(pace, upload_s=upload_s, moved_at=now)
    samples = (*pace.samples[1 - SAMPLES :], held_s)
    return state.Pace(
        samples=samples,
        service_s=sorted(samples)[len(samples) // 2],
        upload_s=pace.upload_s,
        moved_at=now,
    )


def expect_service(
    pace: state.Pace, *, running: int, slots: int, now: float
) -> float:
    """Expect how long a call takes that starts now.

    While every slot is taken and nothing ends, the calls in flight have
    all run for at least that long, whatever earlier ones took.

    :returns: seconds, 0 before anything was seen.
    """
    if not pace.samples or running < slots:
        return pace.service_s
    return max(pace.service_s, now - pace.moved_at)
