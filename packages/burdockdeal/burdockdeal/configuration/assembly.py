"""Assembly of the configuration and audit slices of a daemon."""

from collections import abc
import dataclasses
import random

import aiohttp
from aiohttp import web
import mode

from burdockdeal.audit import api as audit_api
from burdockdeal.audit import audit_log
from burdockdeal.configuration import active_configuration
from burdockdeal.configuration import api
from burdockdeal.configuration import log_follower
from burdockdeal.configuration import peers
from burdockdeal.configuration import propagation
from burdockdeal.configuration import repository
from burdockdeal.configuration import writer
from burdockdeal.core import gauge
from burdockdeal.membership import roster
from burdockdeal.platform import state as rates
from burdockdeal.platform import store
from burdockdeal.settings import model

#: Seconds of calls at the permitted rate that may be made in one burst.
_BURST_S = 3.0

#: Seconds for which a store call on behalf of an operator waits for the call
#: budget before it is refused.
_OPERATOR_MAX_WAIT_S = 2.0

#: Seconds after which a daemon that knows no other daemon may watch the store.
_ALONE_DELAY_S = 1.0

#: Handles a control message of a peer.
Handler = abc.Callable[[web.BaseRequest], abc.Awaitable[web.StreamResponse]]


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """What the daemon provides to the slice.

    :param platform: the client for the store.
    :param session: the HTTP session for messages to other daemons.
    :param rng: the source of random numbers.
    :param roster: this daemon's view of the membership.
    :param is_relay: returns whether this daemon is to watch the store for
        its failure domain.
    :param new_id: makes unique ids.
    :param clock: returns monotonic time in seconds.
    :param wall_ms: returns the wall clock in milliseconds.
    """

    settings: model.Settings
    platform: store.StoreClient
    session: aiohttp.ClientSession
    rng: random.Random
    roster: roster.Roster
    is_relay: abc.Callable[[], bool]
    new_id: abc.Callable[[], str]
    clock: abc.Callable[[], float]
    wall_ms: abc.Callable[[], int]


@dataclasses.dataclass(frozen=True, slots=True)
class Components:
    """The components of the slice that the daemon uses.

    :param add_routes: adds the operators' interface to an application.
    :param build_gauges: builds the metrics of the slice.
    """

    follower: log_follower.LogFollower
    peer_sync: peers.PeerSync
    propagator: propagation.Propagator
    audit_trail: audit_log.AuditLog
    add_routes: abc.Callable[[web.Application], None]
    build_gauges: abc.Callable[[], tuple[gauge.Gauge, ...]]

    @property
    def peer_handlers(self) -> dict[str, Handler]:
        """The handlers of control messages between daemons, by path."""
        return {
            peers.CHANGES_PATH: self.peer_sync.handle_changes,
            peers.SNAPSHOT_PATH: self.peer_sync.handle_snapshot,
            propagation.PATH: self.propagator.handle_spread,
        }

    @property
    def services(self) -> tuple[mode.Service, ...]:
        """The services to run, in the order in which they start."""
        return (
            self.peer_sync,
            self.propagator,
            self.follower,
            self.audit_trail,
        )


def _make_rate_limit(calls_per_s: float) -> rates.RateLimit:
    return rates.RateLimit(calls_per_s, max(1.0, calls_per_s * _BURST_S))


def make_gauges(
    platform: store.StoreClient,
    propagator: propagation.Propagator,
    audit_trail: audit_log.AuditLog,
) -> tuple[gauge.Gauge, ...]:
    """Make the metrics of the slice."""

    def read_calls(kind: str) -> abc.Callable[[], float]:
        return lambda: getattr(platform.call_counts, kind)

    kinds = [field.name for field in dataclasses.fields(rates.CallCounts)]
    return (
        gauge.Gauge(
            "burdockdeal_store_calls_total",
            "Calls to the platform's store since the start.",
            lambda: platform.total_calls,
        ),
        *(
            gauge.Gauge(
                f"burdockdeal_store_{kind}_total",
                f"Calls to the platform's store since the start: {kind}.",
                read_calls(kind),
            )
            for kind in kinds
        ),
        gauge.Gauge(
            "burdockdeal_store_failures_in_a_row",
            "Calls in a row that the store did not answer.",
            lambda: platform.failure_streak.failures,
        ),
        gauge.Gauge(
            "burdockdeal_spread_messages_total",
            "Messages sent to spread or ask for the configuration.",
            lambda: propagator.sent_messages,
        ),
        gauge.Gauge(
            "burdockdeal_spread_bytes_total",
            "Bytes of bodies of those messages.",
            lambda: propagator.sent_bytes,
        ),
        gauge.Gauge(
            "burdockdeal_audit_waiting",
            "Records of the audit trail that are not in the store yet.",
            lambda: audit_trail.pending_count,
        ),
        gauge.Gauge(
            "burdockdeal_audit_lost_total",
            "Records of the audit trail that were dropped.",
            lambda: audit_trail.dropped_count,
        ),
    )


def make_is_relay(deps: Dependencies) -> abc.Callable[[], bool]:
    """Make the function that returns whether to watch the store now.

    A daemon that knows no other daemon yet will most likely hear of some
    soon. Until then it holds off, so as not to add to the store calls of a
    whole fleet that starts.
    """
    available_at = max(deps.clock(), deps.platform.not_before)
    wait_until = available_at + _ALONE_DELAY_S

    def is_relay() -> bool:
        may_watch = deps.roster.active_count > 1 or deps.clock() >= wait_until
        return may_watch and deps.is_relay()

    return is_relay


def build(
    deps: Dependencies, active: active_configuration.ActiveConfiguration
) -> Components:
    """Build the components of the slice.

    :param active: the configuration that this daemon applies.
    """
    settings = deps.settings
    budget = settings.store_budget
    operator_store = deps.platform.derive_client(
        _make_rate_limit(budget.operator_calls_per_s),
        skip_start_delay=True,
        max_wait_s=_OPERATOR_MAX_WAIT_S,
    )
    relay_repository = repository.Repository(
        deps.platform.derive_client(
            _make_rate_limit(budget.relay_calls_per_s)
        ),
        active,
        deps.new_id,
    )
    operator_repository = repository.Repository(
        operator_store, active, deps.new_id
    )
    peer_sync = peers.PeerSync(settings, active, deps.session)
    propagator = propagation.Propagator(
        settings,
        active,
        deps.session,
        deps.rng,
        roster=deps.roster,
        pull=peer_sync.pull_from,
        clock=deps.clock,
    )
    follower = log_follower.LogFollower(
        relay_repository,
        active,
        deps.rng,
        is_relay=make_is_relay(deps),
        forward=propagator.push_domain,
    )
    append = writer.make_append(
        operator_repository,
        active,
        deps.rng,
        wall_ms=deps.wall_ms,
        clock=deps.clock,
        forward=propagator.push_fleet,
    )
    audit_trail = audit_log.AuditLog(
        deps.platform.derive_client(
            rates.RateLimit(budget.calls_per_s, budget.burst)
        ),
        operator_store,
        operator_repository,
        active,
        clock=deps.clock,
    )

    def add_routes(app: web.Application) -> None:
        api.add_routes(
            app,
            active,
            append,
            propagator.query_domains,
            deps.new_id,
            audit_api.make_rejection_recorder(
                audit_trail, active, deps.wall_ms
            ),
        )
        audit_api.add_routes(app, audit_trail)

    def build_gauges() -> tuple[gauge.Gauge, ...]:
        return make_gauges(deps.platform, propagator, audit_trail)

    return Components(
        follower, peer_sync, propagator, audit_trail, add_routes, build_gauges
    )
