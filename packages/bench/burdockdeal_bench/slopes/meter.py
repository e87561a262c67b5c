"""Measures the memory and processor time of a function in this process."""

from collections import abc
import gc
import time
import tracemalloc

_REPEATS = 3
_US_PER_S = 1_000_000


def measure_bytes(build: abc.Callable[[], object]) -> float:
    """Measure the memory that the result of a function keeps allocated.

    :param build: returns the object that is measured.
    :returns: bytes.
    """
    gc.collect()
    tracemalloc.start()
    try:
        before_bytes, _ = tracemalloc.get_traced_memory()
        result = build()
        gc.collect()
        after_bytes, _ = tracemalloc.get_traced_memory()
        del result
    finally:
        tracemalloc.stop()
    return float(after_bytes - before_bytes)


def measure_us(
    work: abc.Callable[[], object],
    *,
    iterations: int = 1,
    repeats: int = _REPEATS,
) -> float:
    """Measure the processor time of a function, the lowest of some repeats.

    :param iterations: number of calls in one repeat.
    :param repeats: number of repeats.
    :returns: microseconds per call.
    """
    fastest_s = float("inf")
    for _ in range(repeats):
        started = time.process_time()
        for _ in range(iterations):
            work()
        fastest_s = min(fastest_s, time.process_time() - started)
    return fastest_s / iterations * _US_PER_S
