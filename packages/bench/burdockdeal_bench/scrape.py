"""Scrapes the metrics of the daemons once a second."""

import asyncio
from collections import abc
import dataclasses
import itertools
import time

import aiohttp

_PERIOD_S = 1.0
_TIMEOUT_S = 0.8

PROBES = "burdockdeal_probes_total"
PROBE_BYTES = "burdockdeal_probe_bytes_total"
SENDS = "burdockdeal_sends_total"
FIRST_SENDS = "burdockdeal_first_sends_total"


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """The counters of one daemon at one point in time.

    :param at: monotonic time, in seconds.
    :param counters: by metric name, summed over labels.
    """

    daemon: str
    at: float
    counters: abc.Mapping[str, float]


def parse_counters(text: str) -> dict[str, float]:
    """Parse the text of a scrape and sum each metric over its labels."""
    totals: dict[str, float] = {}
    for line in text.splitlines():
        if not line or line.startswith("#"):
            continue
        name, _, value = line.rpartition(" ")
        metric = name.split("{", 1)[0]
        totals[metric] = totals.get(metric, 0.0) + float(value)
    return totals


async def _scrape(
    session: aiohttp.ClientSession, daemon: str, url: str
) -> Sample | None:
    try:
        async with session.get(
            f"{url}/metrics",
            timeout=aiohttp.ClientTimeout(total=_TIMEOUT_S),
        ) as response:
            text = await response.text()
    except (aiohttp.ClientError, TimeoutError, OSError):
        return None
    return Sample(daemon, time.monotonic(), parse_counters(text))


async def scrape_all(
    session: aiohttp.ClientSession, urls: abc.Mapping[str, str]
) -> list[Sample]:
    """Scrape all daemons at once; one that does not answer is left out.

    :param urls: operator interface by daemon name.
    """
    results = await asyncio.gather(
        *(_scrape(session, daemon, url) for daemon, url in urls.items())
    )
    return [sample for sample in results if sample is not None]


async def scrape_periodically(
    session: aiohttp.ClientSession,
    urls: abc.Mapping[str, str],
    samples: list[Sample],
) -> None:
    """Scrape all daemons once a second until cancelled.

    :param samples: the list to which samples are added.
    """
    while True:
        samples += await scrape_all(session, urls)
        await asyncio.sleep(_PERIOD_S)


def _group_by_daemon(samples: abc.Iterable[Sample]) -> dict[str, list[Sample]]:
    by_daemon: dict[str, list[Sample]] = {}
    for sample in samples:
        by_daemon.setdefault(sample.daemon, []).append(sample)
    return by_daemon


def _increase(before: Sample, after: Sample, name: str) -> float:
    """Return a counter's increase; a lower value means a reset to 0."""
    increase = after.counters[name] - before.counters.get(name, 0.0)
    return increase if increase >= 0 else after.counters[name]


def total_increase(samples: abc.Sequence[Sample], name: str) -> float | None:
    """Return the increase of a counter, summed over all daemons.

    :returns: None if no daemon has the counter.
    """
    if not any(name in sample.counters for sample in samples):
        return None
    return sum(
        _increase(before, after, name)
        for daemon_samples in _group_by_daemon(samples).values()
        for before, after in itertools.pairwise(daemon_samples)
        if name in after.counters
    )


def max_rate_per_s(samples: abc.Sequence[Sample], name: str) -> float | None:
    """Return a counter's highest rate on any daemon between two scrapes.

    :returns: in units per second; None if no daemon has the counter.
    """
    if not any(name in sample.counters for sample in samples):
        return None
    rates = [
        _increase(before, after, name) / (after.at - before.at)
        for daemon_samples in _group_by_daemon(samples).values()
        for before, after in itertools.pairwise(daemon_samples)
        if name in after.counters
    ]
    return round(max(rates, default=0.0), 2)
