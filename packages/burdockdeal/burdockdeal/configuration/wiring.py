"""Assembly of the slices of configuration and audit."""

from collections import abc
import dataclasses
import random

import aiohttp
from aiohttp import web
import mode

from burdockdeal.audit import api as audit_api
from burdockdeal.audit import audit_log
from burdockdeal.configuration import api
from burdockdeal.configuration import archive
from burdockdeal.configuration import peers
from burdockdeal.configuration import service
from burdockdeal.configuration import spread
from burdockdeal.configuration import standing
from burdockdeal.configuration import writer
from burdockdeal.daemon import metrics
from burdockdeal.membership import roster
from burdockdeal.platform import state as rates
from burdockdeal.platform import store
from burdockdeal.settings import model

_BURST_S = 3.0

#: A call on behalf of an operator waits so long for the budget, in
#: seconds, before it is refused.
_OPERATOR_PATIENCE_S = 2.0

#: A daemon that knows no other watches the store only after this, in
#: seconds.
_ALONE_S = 1.0

#: Answers a peer's control message.
Handler = abc.Callable[[web.BaseRequest], abc.Awaitable[web.StreamResponse]]


@dataclasses.dataclass(frozen=True, slots=True)
class Means:
    """What the slice is given by the daemon.

    :param session: for messages to other daemons.
    :param roster: what is believed of all daemons.
    :param is_relay: tells whether this daemon watches the store.
    :param new_id: makes unique ids.
    :param clock: returns monotonic seconds.
    :param wall_ms: returns the wall clock, in milliseconds.
    """

    settings: model.Settings
    platform: store.StoreClient
    session: aiohttp.ClientSession
    chance: random.Random
    roster: roster.Roster
    is_relay: abc.Callable[[], bool]
    new_id: abc.Callable[[], str]
    clock: abc.Callable[[], float]
    wall_ms: abc.Callable[[], int]


@dataclasses.dataclass(frozen=True, slots=True)
class Slice:
    """The parts of the slice that others use."""

    follower: service.Follower
    puller: peers.Puller
    spreader: spread.Spreader
    records: audit_log.AuditLog
    add_routes: abc.Callable[[web.Application], None]
    gauges: abc.Callable[[], tuple[metrics.Gauge, ...]]

    @property
    def peer_handlers(self) -> dict[str, Handler]:
        """The control messages that this slice answers, by path."""
        return {
            peers.CHANGES_PATH: self.puller.handle_changes,
            peers.SNAPSHOT_PATH: self.puller.handle_snapshot,
            spread.PATH: self.spreader.handle_spread,
        }

    @property
    def services(self) -> tuple[mode.Service, ...]:
        """What is to run, in the order of the start."""
        return (self.puller, self.spreader, self.follower, self.records)


def _rate(calls_per_s: float) -> rates.RateLimit:
    return rates.RateLimit(calls_per_s, max(1.0, calls_per_s * _BURST_S))


def make_gauges(
    platform: store.StoreClient,
    spreader: spread.Spreader,
    records: audit_log.AuditLog,
) -> tuple[metrics.Gauge, ...]:
    """Make what the slice tells in the metrics."""

    def read_calls(kind: str) -> abc.Callable[[], float]:
        return lambda: getattr(platform.call_counts, kind)

    kinds = [field.name for field in dataclasses.fields(rates.CallCounts)]
    return (
        metrics.Gauge(
            "burdockdeal_store_calls_total",
            "Calls to the platform's store since the start.",
            lambda: platform.total_calls,
        ),
        *(
            metrics.Gauge(
                f"burdockdeal_store_{kind}_total",
                f"Calls to the platform's store since the start: {kind}.",
                read_calls(kind),
            )
            for kind in kinds
        ),
        metrics.Gauge(
            "burdockdeal_store_failures_in_a_row",
            "Calls in a row that the store did not answer.",
            lambda: platform.failure_streak.failures,
        ),
        metrics.Gauge(
            "burdockdeal_spread_messages_total",
            "Messages sent to spread or ask for the configuration.",
            lambda: spreader.sent,
        ),
        metrics.Gauge(
            "burdockdeal_spread_bytes_total",
            "Bytes of bodies of those messages.",
            lambda: spreader.sent_bytes,
        ),
        metrics.Gauge(
            "burdockdeal_audit_waiting",
            "Records of the audit trail that are not in the store yet.",
            lambda: records.pending_count,
        ),
        metrics.Gauge(
            "burdockdeal_audit_lost_total",
            "Records of the audit trail that were dropped.",
            lambda: records.dropped_count,
        ),
    )


def make_is_relay(means: Means) -> abc.Callable[[], bool]:
    """Make the function that tells whether to watch the store.

    A daemon that knows no other yet is most likely about to, and would
    only add to the calls of a fleet that starts.
    """
    opens_at = max(means.clock(), means.platform.not_before)
    alone_until = opens_at + _ALONE_S

    def is_relay() -> bool:
        known = means.roster.active_count > 1 or means.clock() >= alone_until
        return known and means.is_relay()

    return is_relay


def build(means: Means, in_force: standing.Standing) -> Slice:
    """Build the slice.

    :param in_force: the configuration in force in this daemon.
    """
    settings = means.settings
    budget = settings.store_budget
    asked = means.platform.derive_client(
        _rate(budget.operator_calls_per_s),
        skip_start_delay=True,
        max_wait_s=_OPERATOR_PATIENCE_S,
    )
    follows = archive.Archive(
        means.platform.derive_client(_rate(budget.relay_calls_per_s)),
        in_force,
        means.new_id,
    )
    writes = archive.Archive(asked, in_force, means.new_id)
    puller = peers.Puller(settings, in_force, means.session, clock=means.clock)
    spreader = spread.Spreader(
        settings,
        in_force,
        means.session,
        means.chance,
        roster=means.roster,
        pull=puller.pull_from,
        clock=means.clock,
    )
    follower = service.Follower(
        follows,
        in_force,
        means.chance,
        is_relay=make_is_relay(means),
        pass_on=spreader.push_domain,
    )
    append = writer.make_append(
        writes,
        in_force,
        means.chance,
        wall_ms=means.wall_ms,
        clock=means.clock,
        pass_on=spreader.push_fleet,
    )
    records = audit_log.AuditLog(
        means.platform.derive_client(
            rates.RateLimit(budget.calls_per_s, budget.burst)
        ),
        asked,
        writes,
        in_force,
        clock=means.clock,
    )

    def add_routes(app: web.Application) -> None:
        api.add_routes(
            app,
            in_force,
            append,
            spreader.ask_domains,
            means.new_id,
            audit_api.make_rejection_recorder(
                records, in_force, means.wall_ms
            ),
        )
        audit_api.add_routes(app, records)

    def gauges() -> tuple[metrics.Gauge, ...]:
        return make_gauges(means.platform, spreader, records)

    return Slice(follower, puller, spreader, records, add_routes, gauges)
