"""The daemon's metrics."""

import collections
from collections import abc
import dataclasses

from aiohttp import web
import aioprometheus
from aioprometheus import renderer

from burdockdeal.core import verdict
from burdockdeal.overload import connections
from burdockdeal.overload import load_shedder
from burdockdeal.retry import budget as budgets


@dataclasses.dataclass(frozen=True, slots=True)
class Gauge:
    """A number that is read when metrics are asked for."""

    name: str
    help_text: str
    read: abc.Callable[[], float]


def make_retry_gauges(budget: budgets.Budget) -> tuple[Gauge, ...]:
    """Make the numbers that tell what an entry has sent."""
    return (
        Gauge(
            "burdockdeal_sends_total",
            "Sends of calls to instances, the repeated ones among them.",
            lambda: budget.counters.sends,
        ),
        Gauge(
            "burdockdeal_first_sends_total",
            "First sends of calls that stand below no repeated call.",
            lambda: budget.counters.first_sends,
        ),
        Gauge(
            "burdockdeal_hedges_total",
            "Sends beside one that was still open.",
            lambda: budget.counters.hedges,
        ),
        Gauge(
            "burdockdeal_retries_denied_total",
            "Sends that only the budget forbade.",
            lambda: budget.counters.denied,
        ),
    )


def make_overload_gauges(
    bounds: connections.ListenerLimiters, guard: load_shedder.LoadShedder
) -> tuple[Gauge, ...]:
    """Make the numbers that tell how near a daemon is to its bounds."""

    def add_up(name: str) -> abc.Callable[[], float]:
        return lambda: sum(getattr(each, name) for each in bounds.listeners)

    return (
        Gauge(
            "burdockdeal_caller_connections",
            "Connections of callers.",
            lambda: len(bounds.caller),
        ),
        Gauge(
            "burdockdeal_connections_refused_total",
            "Connections refused since all others had a request.",
            add_up("refused"),
        ),
        Gauge(
            "burdockdeal_connections_evicted_total",
            "Idle connections ended to make room for new ones.",
            add_up("evicted"),
        ),
        Gauge(
            "burdockdeal_slow_heads_total",
            "Connections ended since no request came in time.",
            add_up("slow"),
        ),
        Gauge(
            "burdockdeal_requests_in_progress",
            "Callers' requests that are not yet answered.",
            lambda: guard.in_progress,
        ),
        Gauge(
            "burdockdeal_shed_total",
            "Requests refused at the entry before they were sent on.",
            lambda: guard.shed,
        ),
        Gauge(
            "burdockdeal_loop_lag_seconds",
            "How late the loop ran its last tick.",
            lambda: guard.adaptive_limit.lag_s,
        ),
    )


class Metrics:
    """Holds the registry of one daemon.

    :param gauges: numbers read at each scrape.
    """

    def __init__(self, gauges: tuple[Gauge, ...]) -> None:
        self._registry = aioprometheus.Registry()
        self._requests = aioprometheus.Counter(
            "burdockdeal_requests_total",
            "Requests that ended, by rank and verdict.",
            registry=self._registry,
        )
        self._ended: collections.Counter[tuple[str, verdict.Verdict]] = (
            collections.Counter()
        )
        self._gauges = tuple(
            (
                gauge,
                aioprometheus.Gauge(
                    gauge.name, gauge.help_text, registry=self._registry
                ),
            )
            for gauge in gauges
        )

    def count_outcome(self, rank: str, outcome: verdict.Verdict) -> None:
        """Count a request that ended.

        The library's counter costs a sort and a copy of its labels each
        time; it is brought up to date when metrics are asked for.
        """
        self._ended[rank, outcome] += 1

    async def handle(self, request: web.Request) -> web.Response:
        """Answer a scrape."""
        for (rank, outcome), number in self._ended.items():
            labels = {"rank": rank, "verdict": outcome.value}
            self._requests.set(labels, number)
        for gauge, metric in self._gauges:
            metric.set({}, gauge.read())
        content, extra = renderer.render(
            self._registry, request.headers.getall("Accept", [])
        )
        return web.Response(body=content, headers=extra)
