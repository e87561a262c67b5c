"""Reading of the daemons' metrics, once a second."""

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
    """The counters of one daemon at one time.

    :param at: monotonic time in seconds.
    """

    daemon: str
    at: float
    counters: abc.Mapping[str, float]


def parse_counters(text: str) -> dict[str, float]:
    """Add up each metric of a scrape over its labels."""
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
    """Read the counters of all daemons that answer.

    :param urls: the operator interface of each daemon.
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
    """Collect samples until cancelled."""
    while True:
        samples += await scrape_all(session, urls)
        await asyncio.sleep(_PERIOD_S)


def _group_by_daemon(samples: abc.Iterable[Sample]) -> dict[str, list[Sample]]:
    by_daemon: dict[str, list[Sample]] = {}
    for sample in samples:
        by_daemon.setdefault(sample.daemon, []).append(sample)
    return by_daemon


def _increase(before: Sample, after: Sample, name: str) -> float:
    """Tell how a counter grew; one that fell began again at 0."""
    increase = after.counters[name] - before.counters.get(name, 0.0)
    return increase if increase >= 0 else after.counters[name]


def total_increase(samples: abc.Sequence[Sample], name: str) -> float | None:
    """Tell by how much a counter grew on all daemons.

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
    """Tell the highest rate of a counter on any daemon between scrapes.

    :returns: None if no daemon has the counter.
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
