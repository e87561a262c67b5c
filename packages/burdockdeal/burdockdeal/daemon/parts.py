"""The parts of one daemon that its slices share."""

from collections import abc
import random
import time

import mode

from burdockdeal.admission import controller
from burdockdeal.admission import saturation
from burdockdeal.admission import state as admission
from burdockdeal.announce import api as announce_api
from burdockdeal.announce import decisions as announce
from burdockdeal.configuration import active_configuration as configuration
from burdockdeal.configuration import resources
from burdockdeal.measurement import breaker
from burdockdeal.measurement import meter
from burdockdeal.membership import messages as membership
from burdockdeal.membership import roster
from burdockdeal.overload import connections
from burdockdeal.overload import load_shedder
from burdockdeal.retry import budget as budgets
from burdockdeal.retry import fleet_budget
from burdockdeal.retry import running
from burdockdeal.routing import state as routing
from burdockdeal.routing import tracking
from burdockdeal.serving import classification
from burdockdeal.serving import header_codec
from burdockdeal.serving import startup
from burdockdeal.serving import traffic_split
from burdockdeal.settings import model
from burdockdeal.shutdown import controller as shutdown

_DEFAULT_SERVICE = resources.Service()


def wall_ms() -> int:
    """Read the wall clock in milliseconds, for people and incarnations."""
    return time.time_ns() // 1_000_000


class Parts:
    """The parts of one daemon, made once and passed whole.

    :param settings: the daemon's settings.
    :param speech: the headers of callers and of the upstream.
    """

    def __init__(
        self, settings: model.Settings, speech: header_codec.HeaderCodec
    ) -> None:
        self.settings = settings
        self.speech = speech
        self.clock = time.monotonic
        self.chance = random.Random(settings.seed)
        self.roster = roster.Roster(
            membership.Member(
                daemon=settings.daemon,
                failure_domain=settings.failure_domain,
                region=settings.region,
                peer=settings.advertise or settings.listen.peer,
                incarnation=wall_ms(),
            )
        )
        self.side = announce_api.UpstreamTracker(self.clock)
        self.standing = configuration.ActiveConfiguration()
        self.gate = controller.AdmissionController(self.clock, self._room)
        self.meter = meter.Meter(self.clock)
        self.circuit = breaker.CircuitBreaker(self.clock)
        self.tracker = tracking.InstanceTracker(
            settings.daemon, settings.failure_domain, self.clock, self.load
        )
        self.running_calls = running.RunningCalls()
        self.budget = self._make_budget()
        self.bounds = connections.limit_listeners(settings.limits, self.clock)
        self.splits = traffic_split.TrafficSplitter()
        self.start = startup.StartupGate(self.clock)
        self.snapshot: classification.CompiledConfiguration | None = None
        self.stopping: shutdown.ShutdownController
        self.services: tuple[mode.Service, ...] = ()
        self.meter.on_upstream_load(self.gate.notify_capacity_change)
        self.side.on_change(self._declare_upstream)
        self.standing.on_change(self._take_configuration)
        self.roster.on_change(self._take_member)

    def take_settings(self, settings: model.Settings) -> None:
        """Take in settings that may change while the daemon runs."""
        self.settings = settings

    def _make_budget(self) -> budgets.Budget:
        if self.settings.fleet_retries is None:
            return budgets.Budget()
        return budgets.Budget(
            fleet_budget.FleetBudget(
                lambda: self.settings.fleet_retries,
                lambda: self.roster.active_count,
                self.clock,
                lambda: self.running_calls.retry_share,
            ),
            lambda: (
                fleet_budget.USABLE_SHARE * self.settings.fleet_retries.share
            ),
        )

    def _slots(self) -> int:
        announced = self.side.upstream.announce
        return announced.slots if announced is not None else 0

    def _warm(self) -> float:
        return announce.compute_warm_up_share(self.side.upstream, self.clock())

    def _room(self) -> admission.Capacity:
        service = self.roster.own.service
        services = self.snapshot.services if self.snapshot else {}
        spec = services.get(service, _DEFAULT_SERVICE)
        whole = self._slots()
        slots = self.gate.saturation.limit_slots(
            whole, self.clock(), self._list_crowding(service)
        )
        return admission.Capacity(
            is_slow=self.meter.is_slow,
            announced_slots=whole,
            slots=slots,
            upload_slots=max(1, int(slots * spec.upload_share)),
            queue_limit=spec.queue_limit,
            warm_up_share=self._warm(),
        )

    def _list_crowding(
        self, service: str
    ) -> abc.Iterator[saturation.Evidence]:
        for report in self.tracker.list_reports(service):
            yield saturation.Evidence(
                report.crowded_calls, report.crowded_ratio
            )

    def _declare_upstream(self) -> None:
        upstream = self.side.upstream
        announced = upstream.announce
        self.roster.update_own(
            service=announced.service if announced else "",
            phase=upstream.phase,
            upstream_incarnation=upstream.incarnation,
            slots=announced.slots if announced else 0,
        )

    def _take_member(
        self, known: membership.Member | None, stands: membership.Member
    ) -> None:
        self.start.notify_change()
        if known is not None:
            self.tracker.drop_departed(known, stands)

    def _take_configuration(self) -> None:
        self.snapshot = classification.compile_configuration(
            self.standing.configuration
        )
        self.start.notify_change()

    def find_crashed(self) -> str | None:
        """Name a service that crashed and why, None if all run."""
        for service in self.services:
            if service.crashed:
                return f"{service.label}: {service.crash_reason!r}"
        return None

    def build_guard(self) -> load_shedder.LoadShedder:
        """Build the guard of this daemon's entry."""
        return load_shedder.LoadShedder(
            lambda: self.snapshot.ranks if self.snapshot else {},
            self.settings.limits.requests,
            self.clock,
            self.chance,
        )

    def is_relay(self) -> bool:
        """Tell whether this daemon watches the store for its domain."""
        domain = self.settings.failure_domain
        return self.settings.daemon in self.roster.choose_relays(domain)

    def load(self) -> routing.LoadReport:
        """Tell the load beside this daemon, as put on each answer."""
        told = self.meter.upstream_load
        seen = self.gate.saturation.evidence
        return routing.LoadReport(
            in_flight=self.gate.running,
            waiting=self.gate.waiting,
            slots=self._room().ramped_slots,
            service_ms=self.meter.service_ms(),
            failed_share=self.meter.failed_share,
            slowdown=told.slowdown if told else 1.0,
            crowded_calls=seen.calls,
            crowded_ratio=round(seen.ratio, 2),
            slowdown_age_ms=round(
                min(60.0, self.meter.upstream_load_age_s) * 1000, 1
            ),
        )

    def is_ready(self) -> bool:
        """Tell whether callers should come here."""
        return not self.missing() and not self.stopping.is_stopping

    def caller_idle_s(self) -> float:
        """Tell how long an idle connection of a caller is kept."""
        bound = self.settings.limits.caller_idle_s
        if self.snapshot is None or self.snapshot.caller_limits is None:
            return bound
        return min(bound, self.snapshot.caller_limits.idle_s)

    def missing(self) -> tuple[str, ...]:
        """Tell what the daemon waits for before it can serve."""
        return () if self.snapshot else ("configuration",)
