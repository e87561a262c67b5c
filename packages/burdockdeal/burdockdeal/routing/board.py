"""The board: what this entry has seen of each instance."""

import asyncio
from collections import abc
import types

from burdockdeal.core import errors
from burdockdeal.core import verdict
from burdockdeal.membership import messages
from burdockdeal.routing import decisions
from burdockdeal.routing import ejection
from burdockdeal.routing import group
from burdockdeal.routing import links
from burdockdeal.routing import state
from burdockdeal.routing import tally

_SERVER_ERROR = 500

#: Instances of a service whose reports are listed at most.
MOST_LISTED = 16

#: Reasons that are the instance's own fault.
_FAULTS = frozenset(
    {
        verdict.Reason.UNREACHABLE,
        verdict.Reason.BROKEN_CONNECTION,
        verdict.Reason.DRAINING,
        verdict.Reason.STALE_INSTANCE,
        verdict.Reason.INTERNAL,
    }
)

#: Reasons that come of its load, which its reports tell.
_OVERLOADS = frozenset(
    {
        verdict.Reason.QUEUE_FULL,
        verdict.Reason.SHED,
        verdict.Reason.TARGET_MISSED,
        verdict.Reason.OVERLOADED,
        verdict.Reason.DEADLINE_PASSED,
    }
)


class Watch:
    """Watches one call while it is in flight; a context manager."""

    def __init__(
        self, board: "Board", key: group.Key, service: str, timed: bool
    ) -> None:
        self._board = board
        self._key = key
        self._service = service
        self._timed = timed
        self._answered = False

    def __enter__(self) -> "Watch":
        self._started = self._board.clock()
        self._tally = self._board.find(self._key)
        self._number = self._tally.begin(self._started, self._timed)
        return self

    def answered(self, status: int) -> None:
        """Take in that the head of the answer has arrived.

        :param status: the upstream's HTTP status.
        """
        now = self._board.clock()
        elapsed_s = now - self._started
        self._answered = True
        self._tally.answer(self._number, elapsed_s)
        self._board.note_answer(
            self._key,
            self._service,
            elapsed_s,
            failed=status >= _SERVER_ERROR,
            timed=self._timed,
        )

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        waited_s = 0.0
        if self._timed and not self._answered:
            waited_s = self._board.clock() - self._started
        self._tally.end(self._number)
        if isinstance(error, errors.CallError):
            self._board.note_error(
                self._key, self._service, error.reason, waited_s
            )
        elif isinstance(error, errors.BurdockdealError):
            self._board.note_fault(self._key, self._service)
        elif isinstance(error, asyncio.CancelledError):
            self._board.note_wait(self._key, self._service, waited_s)


class Board:
    """Holds the tallies of all instances.

    :param own: the entry's own daemon.
    :param failure_domain: the entry's own.
    :param clock: returns monotonic time in seconds.
    :param load: returns the load beside this daemon.
    """

    def __init__(
        self,
        own: str,
        failure_domain: str,
        clock: abc.Callable[[], float],
        load: abc.Callable[[], state.Report],
    ) -> None:
        self._own = own
        self._domain = failure_domain
        self._load = load
        self._tallies: dict[group.Key, tally.Tally] = {}
        self._links = links.Links(failure_domain)
        self.clock = clock
        self.groups: dict[str, group.Group] = {}
        self.answers = 0

    def refresh(
        self,
        service: str,
        members: tuple[messages.Member, ...],
        share: float,
    ) -> group.Group:
        """Take in the instances of a service that is called.

        :param members: the same tuple while nothing has changed.
        :param share: the largest share that may be ejected.
        """
        known = self.groups.get(service)
        if known is None:
            known = group.Group(self._own, self._domain)
            self.groups[service] = known
        known.refresh(members, share)
        return known

    def forget(self, known: messages.Member, stands: messages.Member) -> None:
        """Drop the tally of an instance that no longer stands.

        :param known: its record before.
        :param stands: its record now.
        """
        key = group.key_of(known)
        same = key == group.key_of(stands)
        if same and stands.health not in messages.INACTIVE_HEALTHS:
            return
        held = self._tallies.get(key)
        if held is not None and not held.sent:
            del self._tallies[key]

    def enlist(self, member: messages.Member) -> tally.Tally:
        """Find the tally of an instance, a new one if there is none."""
        key = group.key_of(member)
        held = self._tallies.get(key)
        if held is None:
            held = tally.Tally(member)
            self._tallies[key] = held
        return held

    def find(self, key: group.Key) -> tally.Tally:
        """Find the tally of an instance, one apart if it is forgotten."""
        return self._tallies.get(key) or tally.Tally(None)

    def watch(
        self, daemon: str, incarnation: int, service: str, *, timed: bool
    ) -> Watch:
        """Watch a call to an instance that was chosen.

        :param timed: whether the time to its answer tells something; not
            if the caller's own body is awaited.
        """
        key = group.Key(daemon, incarnation)
        return Watch(self, key, service, timed)

    def describe(self, daemon: str, incarnation: int) -> dict[str, object]:
        """Tell what is known of an instance, for a line of the log."""
        held = self.find(group.Key(daemon, incarnation))
        known: dict[str, object] = {"sent": held.sent}
        report = self._load() if daemon == self._own else held.report
        if report is None:
            return known
        age_s = self.clock() - held.reported_at
        return known | {
            "in_flight": report.in_flight,
            "waiting": report.waiting,
            "slots": report.slots,
            "service_ms": report.service_ms,
            "report_age_ms": 0 if daemon == self._own else round(age_s * 1000),
        }

    def note_report(
        self, daemon: str, incarnation: int, report: state.Report
    ) -> None:
        """Take in an owner's report."""
        key = group.Key(daemon, incarnation)
        held = self._tallies.get(key)
        if held is None:
            return
        held.take(report, self.clock())
        known = self.groups.get(held.member.service)
        if known is None:
            return
        known.note_report(key, report)
        fit = held.health.allowance is None
        if fit and decisions.is_slow(report.service_ms / 1000, known.norm):
            self._step(key, held.member.service, ejection.Lagged())

    def list_reports(self, service: str) -> tuple[state.Report, ...]:
        """List the newest reports of a service's other instances."""
        known = self.groups.get(service)
        if known is None:
            return ()
        tallies = (
            self._tallies.get(group.key_of(member))
            for member in known.members[:MOST_LISTED]
            if member.daemon != self._own
        )
        return tuple(held.report for held in tallies if held and held.report)

    def note_round_trip(
        self, member: messages.Member, elapsed_s: float
    ) -> None:
        """Take in how long a probe took."""
        self._links.note(member.failure_domain, elapsed_s, self.clock())

    def note_answer(
        self,
        key: group.Key,
        service: str,
        elapsed_s: float,
        *,
        failed: bool,
        timed: bool,
    ) -> None:
        """Take in the head of an answer."""
        self.answers += 1
        held = self._tallies.get(key)
        if held is None:
            return
        if key.daemon == self._own:
            self.note_report(key.daemon, key.incarnation, self._load())
        elif timed and held.report is not None:
            spent_s = held.report.spent_ms / 1000
            self._links.note(
                held.member.failure_domain, elapsed_s - spent_s, self.clock()
            )
        if failed:
            self.note_fault(key, service)
            return
        known = self.groups.get(service)
        if not timed or known is None:
            self._step(key, service, ejection.Answered())
            return
        report = held.report
        slow = report is not None and decisions.is_slow(
            report.service_ms / 1000, known.norm
        )
        link_s = self._find_link(held.member)
        known.norm = decisions.note_time(known.norm, elapsed_s - link_s)
        self._step(
            key, service, ejection.Lagged() if slow else ejection.Answered()
        )

    def note_error(
        self,
        key: group.Key,
        service: str,
        reason: verdict.Reason,
        waited_s: float,
    ) -> None:
        """Take in that a call ended without an upstream's answer."""
        if reason in _FAULTS:
            self.note_fault(key, service)
        elif reason in _OVERLOADS and key in self._tallies:
            self._count_failure(key)
        elif reason is verdict.Reason.TIMED_OUT:
            self.note_wait(key, service, waited_s)

    def note_fault(self, key: group.Key, service: str) -> None:
        """Take in a failure of an instance."""
        held = self._tallies.get(key)
        if held is None:
            return
        self._count_failure(key)
        report = held.report
        known = report is not None and (
            report.failed_share >= decisions.FAILING_SHARE
        )
        calls = ejection.FAILURES_TO_EJECT if known else 1
        self._step(key, service, ejection.Failed(calls))

    def note_wait(self, key: group.Key, service: str, waited_s: float) -> None:
        """Take in that a call was given up before any answer."""
        held = self._tallies.get(key)
        if held is None or not waited_s:
            return
        shown = self._show(held, held.member)
        if decisions.is_overdue(shown, self.norm(service), waited_s):
            self._step(key, service, ejection.Lagged())

    def _count_failure(self, key: group.Key) -> None:
        held = self._tallies[key]
        slots = held.report.slots if held.report else held.member.slots
        held.fail(max(1, slots) * decisions.FAILURE_FACTOR, self.clock())

    def _step(
        self, key: group.Key, service: str, event: ejection.Event
    ) -> None:
        held = self._tallies[key]
        known = self.groups.get(service)
        may_eject = known is not None and known.may_eject(key)
        before = held.health
        held.health = ejection.step(
            before, event, self.clock(), may_eject=may_eject
        )
        if held.health is before or known is None:
            return
        known.note_health(key, held.health)
        if held.health.ejected_until != before.ejected_until:
            held.ejected_at_call = known.calls

    def norm(self, service: str) -> state.Norm:
        """Tell what is usual among the instances of a service."""
        known = self.groups.get(service)
        return known.norm if known else state.Norm()

    def _count_spared(self, held: tally.Tally) -> int:
        if not ejection.awaits_trial(held.health) or held.member is None:
            return 0
        known = self.groups.get(held.member.service)
        return known.calls - held.ejected_at_call if known else 0

    def _find_link(self, member: messages.Member) -> float:
        if member.daemon == self._own:
            return 0.0
        return self._links.round_trip_s(member.failure_domain)

    def _show(self, held: tally.Tally, member: messages.Member) -> state.View:
        now = self.clock()
        own = member.daemon == self._own
        return state.View(
            member=member,
            local=member.failure_domain == self._domain,
            sent=held.sent,
            report=self._load() if own else held.report,
            report_age_s=0.0 if own else now - held.reported_at,
            latency_s=held.latency_s,
            link_s=self._find_link(member),
            silent_s=held.silent_s(now),
            unanswered=held.unanswered,
            sent_since=0 if own else held.sent_since,
            failure_load=held.failure_load(now),
            health=held.health,
            spared=self._count_spared(held),
        )

    def view(self, member: messages.Member) -> state.View:
        """Show an instance as a policy sees it."""
        return self._show(self.enlist(member), member)

    def is_suspect(self, shown: state.View) -> bool:
        """Tell whether an instance has long been silent but not ejected."""
        ejected = ejection.awaits_trial(shown.health)
        norm = self.norm(shown.member.service)
        return not ejected and decisions.is_silent(shown, norm)

    def judge(self, member: messages.Member) -> state.View:
        """Show an instance, and eject it if it has long been silent.

        One call that waits alone lets it look slow and no more: it may be
        a long one.
        """
        shown = self.view(member)
        if shown.unanswered < ejection.LAGS_TO_EJECT or not (
            decisions.is_silent(shown, self.norm(member.service))
        ):
            return shown
        event = ejection.Lagged(shown.unanswered)
        self._step(group.key_of(member), member.service, event)
        return self.view(member)
