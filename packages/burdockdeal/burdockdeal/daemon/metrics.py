"""The metrics that a daemon exports."""

import collections
from collections import abc

from aiohttp import web
import aioprometheus
from aioprometheus import renderer

from burdockdeal.core import gauge
from burdockdeal.core import verdict
from burdockdeal.overload import connections
from burdockdeal.overload import load_shedder
from burdockdeal.overload import memory
from burdockdeal.retry import budget as budgets


def make_retry_gauges(budget: budgets.Budget) -> tuple[gauge.Gauge, ...]:
    """Make the gauges of the sends, hedges and retries of this entry."""
    return (
        gauge.Gauge(
            "burdockdeal_sends_total",
            "Sends of calls to instances, the repeated ones among them.",
            lambda: budget.counters.sends,
        ),
        gauge.Gauge(
            "burdockdeal_first_sends_total",
            "First sends of calls that stand below no repeated call.",
            lambda: budget.counters.first_sends,
        ),
        gauge.Gauge(
            "burdockdeal_hedges_total",
            "Sends beside one that was still open.",
            lambda: budget.counters.hedges,
        ),
        gauge.Gauge(
            "burdockdeal_retries_denied_total",
            "Sends that only the budget forbade.",
            lambda: budget.counters.denied,
        ),
    )


def make_overload_gauges(
    limiters: connections.ListenerLimiters, shedder: load_shedder.LoadShedder
) -> tuple[gauge.Gauge, ...]:
    """Make the gauges of connections, load shedding and loop lag."""

    def sum_over_listeners(name: str) -> abc.Callable[[], float]:
        return lambda: sum(getattr(each, name) for each in limiters.listeners)

    return (
        gauge.Gauge(
            "burdockdeal_caller_connections",
            "Connections of callers.",
            lambda: len(limiters.caller),
        ),
        gauge.Gauge(
            "burdockdeal_connections_refused_total",
            "Connections refused since all others had a request.",
            sum_over_listeners("refused"),
        ),
        gauge.Gauge(
            "burdockdeal_connections_evicted_total",
            "Idle connections ended to make room for new ones.",
            sum_over_listeners("evicted"),
        ),
        gauge.Gauge(
            "burdockdeal_slow_heads_total",
            "Connections ended since no request came in time.",
            sum_over_listeners("slow"),
        ),
        gauge.Gauge(
            "burdockdeal_requests_in_progress",
            "Callers' requests that are not yet answered.",
            lambda: shedder.in_progress,
        ),
        gauge.Gauge(
            "burdockdeal_shed_total",
            "Requests refused at the entry before they were sent on.",
            lambda: shedder.shed,
        ),
        gauge.Gauge(
            "burdockdeal_loop_lag_seconds",
            "How late the loop ran its last tick.",
            lambda: shedder.adaptive_limit.lag_s,
        ),
    )


def make_memory_gauges(
    ledger: memory.MemoryLedger,
) -> tuple[gauge.Gauge, ...]:
    """Make the gauges of the memory that callers' connections hold."""
    return (
        gauge.Gauge(
            "burdockdeal_buffered_bytes",
            "Bytes that callers' connections hold, estimated.",
            lambda: ledger.total_bytes,
        ),
        gauge.Gauge(
            "burdockdeal_connections_reset_total",
            "Connections reset since all together held too much.",
            lambda: ledger.evicted,
        ),
    )


#: Escapes of a label's value, which aioprometheus writes as it is.
_LABEL_ESCAPES = str.maketrans({"\\": r"\\", '"': r"\"", "\n": r"\n"})


class Metrics:
    """The metrics registry of one daemon.

    :param gauges: the metrics that are read at each scrape.
    """

    def __init__(self, gauges: tuple[gauge.Gauge, ...]) -> None:
        self._registry = aioprometheus.Registry()
        self._requests = aioprometheus.Counter(
            "burdockdeal_requests_total",
            "Requests that ended, by rank and verdict.",
            registry=self._registry,
        )
        self._outcome_counts: collections.Counter[
            tuple[str, verdict.Verdict]
        ] = collections.Counter()
        self._gauges = tuple(
            (
                one.read,
                aioprometheus.Gauge(
                    one.name, one.help_text, registry=self._registry
                ),
            )
            for one in gauges
        )

    def count_outcome(self, rank: str, outcome: verdict.Verdict) -> None:
        """Count a finished request.

        The counter of aioprometheus sorts and copies its labels at each
        update, so it is updated only when the metrics are scraped.

        :param rank: the rank of the request.
        """
        self._outcome_counts[rank, outcome] += 1

    async def handle(self, request: web.Request) -> web.Response:
        """Respond to a scrape."""
        for (rank, outcome), count in self._outcome_counts.items():
            labels = {
                "rank": rank.translate(_LABEL_ESCAPES),
                "verdict": outcome.value,
            }
            self._requests.set(labels, count)
        for read, metric in self._gauges:
            metric.set({}, read())
        content, response_headers = renderer.render(
            self._registry, request.headers.getall("Accept", [])
        )
        return web.Response(body=content, headers=response_headers)
