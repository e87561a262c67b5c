"""Tracks load, latency and health of each instance, as seen by this daemon."""

from collections import abc

from burdockdeal.core import load_report
from burdockdeal.core import verdict
from burdockdeal.membership import messages
from burdockdeal.routing import decisions
from burdockdeal.routing import ejection
from burdockdeal.routing import instance_group
from burdockdeal.routing import instance_stats
from burdockdeal.routing import response_sizes
from burdockdeal.routing import round_trips
from burdockdeal.routing import state
from burdockdeal.routing import tracked_call

#: Maximum number of instances whose reports are listed for a service.
MAX_LISTED_REPORTS = 16

#: Error reasons that count as a failure of the instance.
_FAILURE_REASONS = frozenset(
    {
        verdict.Reason.UNREACHABLE,
        verdict.Reason.BROKEN_CONNECTION,
        verdict.Reason.DRAINING,
        verdict.Reason.STALE_INSTANCE,
        verdict.Reason.INTERNAL,
    }
)

#: Error reasons caused by load. They raise the failure penalty but don't
#: count towards ejection: the instance's load reports already show its load.
_OVERLOAD_REASONS = verdict.OVERLOAD_REASONS | {verdict.Reason.DEADLINE_PASSED}


class InstanceTracker:
    """Holds the statistics of all instances and decides on ejections.

    :param own_daemon: the name of this daemon.
    :param failure_domain: the failure domain of this daemon.
    :param clock: returns monotonic time in seconds.
    :param load: returns the current load of this daemon's own upstream.
    :param region: the region of this daemon.
    """

    def __init__(
        self,
        own_daemon: str,
        failure_domain: str,
        clock: abc.Callable[[], float],
        load: abc.Callable[[], load_report.LoadReport],
        region: str = "",
    ) -> None:
        self._own_daemon = own_daemon
        self._failure_domain = failure_domain
        self._region = region
        self._load = load
        self._stats_by_key: dict[
            instance_group.InstanceKey, instance_stats.InstanceStats
        ] = {}
        self._round_trips = round_trips.RoundTripEstimator(failure_domain)
        self.clock = clock
        self.response_sizes = response_sizes.ResponseSizes()
        self.groups: dict[str, instance_group.InstanceGroup] = {}
        self.responses = 0

    def update_members(
        self,
        service: str,
        members: tuple[messages.Member, ...],
        share: float,
    ) -> instance_group.InstanceGroup:
        """Update the instances of a service.

        :param members: the serving instances; the same tuple object as
            long as nothing has changed, so that the update is skipped.
        :param share: the maximum share of instances that may be ejected.
        :returns: the group of the service's instances.
        """
        group = self.groups.get(service)
        if group is None:
            group = instance_group.InstanceGroup(
                self._own_daemon, self._failure_domain, self._region
            )
            self.groups[service] = group
        group.update_members(members, share)
        return group

    def drop_departed(
        self, previous: messages.Member, current: messages.Member
    ) -> None:
        """Drop the statistics of an instance that has left or restarted.

        Statistics with calls still in flight are kept.

        :param previous: its membership record before the change.
        :param current: its membership record now.
        """
        key = instance_group.make_key(previous)
        same = key == instance_group.make_key(current)
        if same and current.health not in messages.INACTIVE_HEALTHS:
            return
        stats = self._stats_by_key.get(key)
        if stats is not None and not stats.outstanding:
            del self._stats_by_key[key]

    def ensure_stats(
        self, member: messages.Member
    ) -> instance_stats.InstanceStats:
        """Return the statistics of an instance, creating them if missing."""
        key = instance_group.make_key(member)
        stats = self._stats_by_key.get(key)
        if stats is None:
            stats = instance_stats.InstanceStats(member)
            self._stats_by_key[key] = stats
        return stats

    def find_stats(
        self, key: instance_group.InstanceKey
    ) -> instance_stats.InstanceStats:
        """Return the statistics of an instance.

        If they have been dropped, returns statistics that are not stored,
        so that a call still in flight can finish.
        """
        return self._stats_by_key.get(key) or instance_stats.InstanceStats(
            None
        )

    def track_call(
        self, daemon: str, incarnation: int, service: str, *, timed: bool
    ) -> tracked_call.TrackedCall:
        """Track a call to the chosen instance.

        :param timed: whether the time to the response says something
            about the instance; False if the caller's body is streamed,
            since a slow caller then delays the response.
        """
        key = instance_group.InstanceKey(daemon, incarnation)
        return tracked_call.TrackedCall(self, key, service, timed)

    def describe(self, daemon: str, incarnation: int) -> dict[str, object]:
        """Return the load fields of an instance for a log line."""
        stats = self.find_stats(
            instance_group.InstanceKey(daemon, incarnation)
        )
        fields: dict[str, object] = {"sent": stats.outstanding}
        report = self._load() if daemon == self._own_daemon else stats.report
        if report is None:
            return fields
        age_s = self.clock() - stats.reported_at
        return fields | {
            "in_flight": report.in_flight,
            "waiting": report.waiting,
            "slots": report.slots,
            "service_ms": report.service_ms,
            "report_age_ms": 0
            if daemon == self._own_daemon
            else round(age_s * 1000),
        }

    def record_report(
        self, daemon: str, incarnation: int, report: load_report.LoadReport
    ) -> None:
        """Record a load report of an instance's daemon."""
        key = instance_group.InstanceKey(daemon, incarnation)
        stats = self._stats_by_key.get(key)
        if stats is None:
            return
        stats.record_report(report, self.clock())
        group = self.groups.get(stats.member.service)
        if group is None:
            return
        group.record_report(key, report)
        in_rotation = stats.health.readmission_limit is None
        if in_rotation and decisions.is_slow(
            report.service_ms / 1000, group.baseline
        ):
            self._apply_event(key, stats.member.service, ejection.TooSlow())

    def list_reports(self, service: str) -> tuple[load_report.LoadReport, ...]:
        """List the latest reports of a service's remote instances."""
        group = self.groups.get(service)
        if group is None:
            return ()
        listed = (
            self._stats_by_key.get(instance_group.make_key(member))
            for member in group.members[:MAX_LISTED_REPORTS]
            if member.daemon != self._own_daemon
        )
        return tuple(
            stats.report for stats in listed if stats and stats.report
        )

    def record_round_trip(
        self, member: messages.Member, elapsed_s: float
    ) -> None:
        """Record the duration of a probe as a round trip.

        :param elapsed_s: seconds from the probe to its response.
        """
        self._round_trips.record(
            member.failure_domain, elapsed_s, self.clock()
        )

    def handle_response(
        self,
        key: instance_group.InstanceKey,
        service: str,
        elapsed_s: float,
        *,
        failed: bool,
        timed: bool,
    ) -> None:
        """Update round trips, baseline and health from response headers.

        :param elapsed_s: seconds from the send to the response headers.
        :param failed: whether the response is a server error.
        :param timed: see track_call.
        """
        self.responses += 1
        stats = self._stats_by_key.get(key)
        if stats is None:
            return
        if key.daemon == self._own_daemon:
            self.record_report(key.daemon, key.incarnation, self._load())
        elif timed and stats.report is not None:
            spent_s = stats.report.spent_ms / 1000
            self._round_trips.record(
                stats.member.failure_domain, elapsed_s - spent_s, self.clock()
            )
        if failed:
            self.record_failure(key, service)
            return
        group = self.groups.get(service)
        if not timed or group is None:
            self._apply_event(key, service, ejection.Succeeded())
            return
        report = stats.report
        slow = report is not None and decisions.is_slow(
            report.service_ms / 1000, group.baseline
        )
        round_trip_s = self._find_round_trip(stats.member)
        group.baseline = decisions.record_response_time(
            group.baseline, elapsed_s - round_trip_s
        )
        self._apply_event(
            key, service, ejection.TooSlow() if slow else ejection.Succeeded()
        )

    def record_error(
        self,
        key: instance_group.InstanceKey,
        service: str,
        reason: verdict.Reason,
        waited_s: float,
    ) -> None:
        """Record that a call ended without an upstream's response.

        :param waited_s: seconds that the call waited for a response, 0 if
            it was not timed.
        """
        if reason in _FAILURE_REASONS:
            self.record_failure(key, service)
        elif reason in _OVERLOAD_REASONS and key in self._stats_by_key:
            self._add_failure_penalty(key)
        elif reason is verdict.Reason.TIMED_OUT:
            self.record_abandoned(key, service, waited_s)

    def record_failure(
        self, key: instance_group.InstanceKey, service: str
    ) -> None:
        """Record a failure of an instance.

        One failure is enough to eject if the instance itself reports that
        most of its recent responses were server errors.
        """
        stats = self._stats_by_key.get(key)
        if stats is None:
            return
        self._add_failure_penalty(key)
        report = stats.report
        mostly_failing = report is not None and (
            report.failed_share >= decisions.FAILING_SHARE
        )
        calls = ejection.FAILURES_TO_EJECT if mostly_failing else 1
        self._apply_event(key, service, ejection.Failed(calls))

    def record_abandoned(
        self, key: instance_group.InstanceKey, service: str, waited_s: float
    ) -> None:
        """Record that a call was given up before any response.

        :param waited_s: seconds that the call waited, 0 if it was not
            timed.
        """
        stats = self._stats_by_key.get(key)
        if stats is None or not waited_s:
            return
        view = self._build_view(stats, stats.member)
        if decisions.is_overdue(view, self.get_baseline(service), waited_s):
            self._apply_event(key, service, ejection.TooSlow())

    def _add_failure_penalty(self, key: instance_group.InstanceKey) -> None:
        stats = self._stats_by_key[key]
        slots = stats.report.slots if stats.report else stats.member.slots
        stats.record_failure(
            max(1, slots) * decisions.FAILURE_FACTOR, self.clock()
        )

    def _apply_event(
        self,
        key: instance_group.InstanceKey,
        service: str,
        event: ejection.Event,
    ) -> None:
        stats = self._stats_by_key[key]
        group = self.groups.get(service)
        may_eject = group is not None and group.may_eject(key)
        before = stats.health
        stats.health = ejection.apply_event(
            before, event, self.clock(), may_eject=may_eject
        )
        if stats.health is before or group is None:
            return
        group.record_health(key, stats.health)
        if stats.health.ejected_until != before.ejected_until:
            stats.ejected_at_call = group.calls

    def get_baseline(self, service: str) -> state.Baseline:
        """Return the baseline of a service, the default if it is unknown."""
        group = self.groups.get(service)
        return group.baseline if group else state.Baseline()

    def _count_calls_since_ejection(
        self, stats: instance_stats.InstanceStats
    ) -> int:
        if not ejection.awaits_trial(stats.health) or stats.member is None:
            return 0
        group = self.groups.get(stats.member.service)
        return group.calls - stats.ejected_at_call if group else 0

    def _find_round_trip(self, member: messages.Member) -> float:
        if member.daemon == self._own_daemon:
            return 0.0
        return self._round_trips.estimate_s(member.failure_domain)

    def _build_view(
        self, stats: instance_stats.InstanceStats, member: messages.Member
    ) -> state.View:
        now = self.clock()
        own = member.daemon == self._own_daemon
        return state.View(
            member=member,
            is_local=member.failure_domain == self._failure_domain,
            outstanding=stats.outstanding,
            report=self._load() if own else stats.report,
            report_age_s=0.0 if own else now - stats.reported_at,
            latency_s=stats.latency_s,
            round_trip_s=self._find_round_trip(member),
            unanswered_s=stats.get_unanswered_s(now),
            unanswered=stats.unanswered,
            sent_since_report=0 if own else stats.sent_since_report,
            failure_penalty=stats.get_failure_penalty(now),
            health=stats.health,
            calls_since_ejection=self._count_calls_since_ejection(stats),
            is_in_region=self._region in ("", member.region),
        )

    def view(self, member: messages.Member) -> state.View:
        """Return an instance as a routing policy sees it."""
        return self._build_view(self.ensure_stats(member), member)

    def is_unresponsive(self, view: state.View) -> bool:
        """Return whether an instance is unresponsive but not yet ejected."""
        ejected = ejection.awaits_trial(view.health)
        baseline = self.get_baseline(view.member.service)
        return not ejected and decisions.is_unresponsive(view, baseline)

    def evaluate(self, member: messages.Member) -> state.View:
        """Return the view of an instance, ejecting it if it is unresponsive.

        A single unanswered call makes the instance look slower but does
        not eject it, since that call may simply be a long one.
        """
        view = self.view(member)
        if view.unanswered < ejection.SLOW_CALLS_TO_EJECT or not (
            decisions.is_unresponsive(view, self.get_baseline(member.service))
        ):
            return view
        event = ejection.TooSlow(view.unanswered)
        self._apply_event(
            instance_group.make_key(member), member.service, event
        )
        return self.view(member)
