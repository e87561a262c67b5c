"""The objects of one daemon that its slices share."""

from collections import abc
import dataclasses
import math
import random
import sys
import time

import mode

from burdockdeal.admission import cold_start
from burdockdeal.admission import controller
from burdockdeal.admission import saturation
from burdockdeal.admission import state as admission
from burdockdeal.announce import api as announce_api
from burdockdeal.announce import decisions as announce
from burdockdeal.configuration import active_configuration as configuration
from burdockdeal.configuration import confirmation
from burdockdeal.configuration import resources
from burdockdeal.core import clock
from burdockdeal.core import load_report
from burdockdeal.core import verdict
from burdockdeal.evacuation import active
from burdockdeal.evacuation import state as evacuation
from burdockdeal.measurement import breaker
from burdockdeal.measurement import meter
from burdockdeal.membership import messages as membership
from burdockdeal.membership import roster
from burdockdeal.overload import connections
from burdockdeal.overload import load_shedder
from burdockdeal.overload import memory
from burdockdeal.retry import assembly as retry
from burdockdeal.retry import running
from burdockdeal.routing import tracking
from burdockdeal.serving import classification
from burdockdeal.serving import header_codec
from burdockdeal.serving import startup
from burdockdeal.serving import traffic_split
from burdockdeal.settings import model
from burdockdeal.shutdown import controller as shutdown
from burdockdeal.shutdown import messages as shutdown_messages

_DEFAULT_SERVICE = resources.Service()

#: Limits of callers that lower nothing.
_NO_CALLER_LIMITS = resources.CallerLimits(
    sys.maxsize, sys.maxsize, math.inf, math.inf
)

#: Urgency of a rank that the configuration does not contain any more.
_LEAST_URGENT = 1_000

#: The clock of all decisions of a daemon.
CLOCK = clock.read_seconds


#: Seconds for which the number of usable slots is not computed anew. What it
#: depends on changes over many calls, and it is needed several times a call.
_SLOT_LIMIT_TTL_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class _SlotLimit:
    """How many slots of the upstream are used.

    :param announced: the slots that the upstream announced.
    :param valid_until: monotonic time in seconds.
    """

    announced: int = 0
    slots: int = 0
    valid_until: float = 0.0


def read_wall_clock_ms() -> int:
    """Read the wall clock, for timestamps and incarnations.

    :returns: milliseconds since the Unix epoch.
    """
    return time.time_ns() // 1_000_000


class Components:
    """The objects of one daemon that its slices share, created at its start.

    :param settings: the daemon's settings.
    :param codec: encodes and decodes the headers of callers and of the
        upstream.
    """

    def __init__(
        self, settings: model.Settings, codec: header_codec.HeaderCodec
    ) -> None:
        self.settings = settings
        self.header_codec = codec
        self.clock = CLOCK
        self.rng = random.Random(settings.seed)
        self.roster = roster.Roster(
            membership.Member(
                daemon=settings.daemon,
                failure_domain=settings.failure_domain,
                region=settings.region,
                peer=settings.advertise or settings.listen.peer,
                incarnation=read_wall_clock_ms(),
            )
        )
        deployment = settings.deployment
        self.evacuations = active.ActiveEvacuation(
            is_enabled=deployment is not None and deployment.has_evacuations
        )
        #: Lists the instances of a service that may get requests.
        self.list_serving = active.make_lister(
            self.roster.list_serving, self.evacuations
        )
        self.upstream_tracker = announce_api.UpstreamTracker(self.clock)
        self.active_configuration = configuration.ActiveConfiguration()
        self.confirmation = confirmation.Confirmation(
            settings.keys, self.clock
        )
        self.admission = controller.AdmissionController(
            self.clock, self._compute_capacity
        )
        self.meter = meter.Meter(self.clock)
        self.circuit_breaker = breaker.CircuitBreaker(self.clock)
        self.instance_tracker = tracking.InstanceTracker(
            settings.daemon,
            settings.failure_domain,
            self.clock,
            self.build_load_report,
            settings.region,
        )
        #: Whether a service is known to slow down when nearly full.
        self.is_saturating: abc.Callable[[str], bool] = lambda service: False
        self._slot_limit = _SlotLimit()
        self.running_calls = running.RunningCalls()
        self.retry_budget = retry.build_retry_budget(
            lambda: self.settings,
            lambda: self.roster.active_count,
            self.clock,
            lambda: self.running_calls.retry_share,
            self._get_urgency,
        )
        self.hedges = retry.build_hedge_limiter(lambda: self.settings)
        self.caller_memory = memory.MemoryLedger(
            settings.limits.memory_limit_bytes, self.clock
        )
        #: The limits of settings and configuration from which those in force
        #: were computed.
        self._limits_source: (
            tuple[model.Limits, resources.CallerLimits] | None
        ) = None
        self._caller_limits = _NO_CALLER_LIMITS
        self.listener_limiters = connections.limit_listeners(
            settings.limits, self.clock
        )
        self.traffic_splitter = traffic_split.TrafficSplitter()
        self.startup_gate = startup.StartupGate(self.clock)
        self.compiled_configuration: (
            classification.CompiledConfiguration | None
        ) = None
        self.shutdown_controller: shutdown.ShutdownController
        self.services: tuple[mode.Service, ...] = ()
        self.meter.on_upstream_load(self.admission.notify_capacity_change)
        self.upstream_tracker.on_change(self._update_own_member)
        self.upstream_tracker.on_cold_report(self._handle_cold_report)
        self.evacuations.on_change(self._handle_evacuations)
        self.active_configuration.on_change(self._handle_configuration_change)
        self.roster.on_change(self._handle_member_change)

    def replace_settings(self, settings: model.Settings) -> None:
        """Replace the settings by those of a reloaded settings file."""
        self.settings = settings

    def _get_urgency(self, rank: str) -> int:
        current = self.compiled_configuration
        known = current.ranks.get(rank) if current else None
        return known.urgency if known else _LEAST_URGENT

    def _get_announced_slots(self) -> int:
        announced = self.upstream_tracker.upstream.announce
        return announced.slots if announced is not None else 0

    def _compute_warm_up_share(self) -> float:
        return announce.compute_warm_up_share(
            self.upstream_tracker.upstream, self.clock()
        )

    def _build_pace(self, spec: resources.Service) -> admission.Pace | None:
        if not spec.cold_starts_per_s:
            return None
        return admission.Pace(
            cold_start.compute_rate(
                spec.cold_starts_per_s, self.settings.cold_excess
            ),
            announce.find_cold_end(self.upstream_tracker.upstream),
        )

    def compute_cold_s(self) -> float:
        """Compute for how long the upstream is still cold.

        :returns: seconds; -1 if it isn't known, 0 without a rate of starts.
        """
        pace = self._compute_capacity().pace
        if pace is None:
            return 0.0
        remaining_s = max(0.0, pace.cold_until - self.clock())
        return remaining_s if math.isfinite(remaining_s) else -1.0

    def is_evacuated(self) -> bool:
        """Return whether this failure domain is evacuated."""
        return self.evacuations.is_evacuated(self.settings.failure_domain)

    def _handle_evacuations(self, change: evacuation.Change) -> None:
        domain = self.settings.failure_domain
        if domain in change.started:
            self.admission.refuse_waiting(verdict.Reason.EVACUATED)
        if domain in change.ended:
            self.upstream_tracker.apply(announce.ColdUnknown())

    def _handle_cold_report(self) -> None:
        self.admission.pacer.log_change()
        self.admission.notify_capacity_change()

    def _compute_capacity(self) -> admission.Capacity:
        service = self.roster.own.service
        services = (
            self.compiled_configuration.services
            if self.compiled_configuration
            else {}
        )
        spec = services.get(service, _DEFAULT_SERVICE)
        announced_slots = self._get_announced_slots()
        slots = self._limit_slots(service, announced_slots)
        pace = self._build_pace(spec)
        return admission.Capacity(
            is_slow=self.meter.is_slow,
            announced_slots=announced_slots,
            slots=slots,
            upload_slots=max(1, int(slots * spec.upload_share)),
            queue_limit=spec.queue_limit,
            # The pace takes the place of the growing share.
            warm_up_share=1.0 if pace else self._compute_warm_up_share(),
            pace=pace,
        )

    def _count_offered_slots(self) -> int:
        """Count the slots that are offered to other daemons.

        While the upstream is cold, these are no more than the pace keeps
        busy, so that they don't send calls that would only be refused.
        """
        capacity = self._compute_capacity()
        pace = capacity.pace
        if pace is None or not pace.is_cold(self.clock()):
            return capacity.ramped_slots
        return min(
            capacity.ramped_slots,
            cold_start.count_busy_slots(
                pace, self.admission.expected_service_s
            ),
        )

    def _limit_slots(self, service: str, announced_slots: int) -> int:
        """Return how many slots are used, computed anew from time to time."""
        now = self.clock()
        limited = self._slot_limit
        if limited.announced != announced_slots or now >= limited.valid_until:
            slots = self.admission.saturation.limit_slots(
                announced_slots,
                now,
                self._list_others_evidence(service),
                presumes=self.is_saturating(service),
            )
            limited = _SlotLimit(
                announced_slots, slots, now + _SLOT_LIMIT_TTL_S
            )
            self._slot_limit = limited
        return limited.slots

    def list_saturation_evidence(self) -> dict[str, saturation.Evidence]:
        """List what the owners of each service have seen of its upstreams."""
        own_service = self.roster.own.service
        evidence = {
            service: saturation.combine(self._list_others_evidence(service))
            for service in self.instance_tracker.groups
        }
        own = self.admission.saturation.evidence
        others = evidence.get(own_service, saturation.Evidence())
        return evidence | {own_service: saturation.combine((own, others))}

    def _list_others_evidence(
        self, service: str
    ) -> abc.Iterator[saturation.Evidence]:
        for report in self.instance_tracker.list_reports(service):
            yield saturation.Evidence(
                report.crowded_calls, report.crowded_ratio
            )

    def _update_own_member(self) -> None:
        upstream = self.upstream_tracker.upstream
        announced = upstream.announce
        self.roster.update_own(
            service=announced.service if announced else "",
            phase=upstream.phase,
            upstream_incarnation=upstream.incarnation,
            slots=announced.slots if announced else 0,
        )

    def _handle_member_change(
        self, previous: membership.Member | None, current: membership.Member
    ) -> None:
        self.startup_gate.notify_change()
        if previous is not None:
            self.instance_tracker.drop_departed(previous, current)

    def _handle_configuration_change(self) -> None:
        self.compiled_configuration = classification.compile_configuration(
            self.active_configuration.configuration
        )
        self.startup_gate.notify_change()

    def list_failures(self) -> tuple[shutdown_messages.Failed, ...]:
        """List what has ended the services that have crashed."""
        return tuple(
            shutdown.describe_failure(service.label, service.crash_reason)
            for service in self.services
            if service.crashed
        )

    def build_load_shedder(self) -> load_shedder.LoadShedder:
        """Build the load shedder for the requests of callers."""
        return load_shedder.LoadShedder(
            lambda: (
                self.compiled_configuration.ranks
                if self.compiled_configuration
                else {}
            ),
            self.settings.limits.requests,
            self.clock,
            self.rng,
        )

    def is_relay(self) -> bool:
        """Return whether this daemon watches the store for its domain."""
        domain = self.settings.failure_domain
        return self.settings.daemon in self.roster.choose_relays(domain)

    def build_load_report(self) -> load_report.LoadReport:
        """Build the report of the upstream's load, sent with each response."""
        upstream_load = self.meter.upstream_load
        evidence = self.admission.saturation.evidence
        return load_report.LoadReport(
            in_flight=self.admission.running,
            waiting=self.admission.waiting,
            slots=self._count_offered_slots(),
            service_ms=self.meter.service_ms(),
            failed_share=self.meter.failed_share,
            slowdown=upstream_load.slowdown if upstream_load else 1.0,
            crowded_calls=evidence.calls,
            crowded_ratio=round(evidence.ratio, 2),
            slowdown_age_ms=round(
                min(60.0, self.meter.upstream_load_age_s) * 1000, 1
            ),
        )

    def is_ready(self) -> bool:
        """Return whether the daemon can serve callers and is not stopping."""
        return (
            not self.list_missing()
            and not self.shutdown_controller.is_stopping
        )

    def get_caller_limits(self) -> resources.CallerLimits:
        """Return the limits of callers that are in force.

        The configuration can lower the limits of the settings, not raise
        them.
        """
        limits = self.settings.limits
        configured = (
            self.compiled_configuration.caller_limits
            if self.compiled_configuration is not None
            else None
        ) or _NO_CALLER_LIMITS
        source = (limits, configured)
        if source != self._limits_source:
            self._limits_source = source
            self._caller_limits = resources.CallerLimits(
                header_bytes=min(limits.header_bytes, configured.header_bytes),
                body_bytes=configured.body_bytes,
                head_s=min(limits.head_s, configured.head_s),
                idle_s=min(limits.caller_idle_s, configured.idle_s),
            )
        return self._caller_limits

    def list_missing(self) -> tuple[str, ...]:
        """Return the names of what the daemon needs before it can serve."""
        return () if self.compiled_configuration else ("configuration",)
