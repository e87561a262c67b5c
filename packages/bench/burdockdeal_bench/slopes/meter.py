"""Meters: memory and processor time of a piece of work in this process."""

from collections import abc
import gc
import time
import tracemalloc

_REPEATS = 3
_US_PER_S = 1_000_000


def measure_bytes(build: abc.Callable[[], object]) -> float:
    """Measure the memory that stays allocated for what is built."""
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        built = build()
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
        del built
    finally:
        tracemalloc.stop()
    return float(after - before)


def measure_us(
    work: abc.Callable[[], object],
    *,
    times: int = 1,
    repeats: int = _REPEATS,
) -> float:
    """Measure the processor time of some work, the least of some repeats.

    :param times: how often the work is done in one repeat.
    :returns: microseconds for doing it once.
    """
    least = float("inf")
    for _ in range(repeats):
        began = time.process_time()
        for _ in range(times):
            work()
        least = min(least, time.process_time() - began)
    return least / times * _US_PER_S
