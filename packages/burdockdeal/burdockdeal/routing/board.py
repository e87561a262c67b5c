"""The board: what this entry has seen of each instance."""

from collections import abc

from burdockdeal.membership import messages
from burdockdeal.routing import state

_SMOOTHING = 0.2


class Tally:
    """Counts of one instance."""

    def __init__(self) -> None:
        self.sent = 0
        self.latency_s = 0.0
        self.report: state.Report | None = None
        self.reported_at = 0.0


class Board:
    """Holds the tallies of all instances.

    :param failure_domain: the entry's own.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self, failure_domain: str, clock: abc.Callable[[], float]
    ) -> None:
        self._domain = failure_domain
        self._clock = clock
        self._tallies: dict[tuple[str, int], Tally] = {}

    def _tally(self, daemon: str, incarnation: int) -> Tally:
        key = (daemon, incarnation)
        if key not in self._tallies:
            self._tallies[key] = Tally()
        return self._tallies[key]

    def note_sent(self, daemon: str, incarnation: int) -> None:
        """Count a call as sent to an instance."""
        self._tally(daemon, incarnation).sent += 1

    def note_done(self, daemon: str, incarnation: int) -> None:
        """Count a call as no longer in flight."""
        self._tally(daemon, incarnation).sent -= 1

    def note_answer(
        self, daemon: str, incarnation: int, latency_s: float
    ) -> None:
        """Take in how long an answer's head took."""
        tally = self._tally(daemon, incarnation)
        before = tally.latency_s or latency_s
        tally.latency_s = before + _SMOOTHING * (latency_s - before)

    def note_report(
        self, daemon: str, incarnation: int, report: state.Report
    ) -> None:
        """Take in an owner's report."""
        tally = self._tally(daemon, incarnation)
        tally.report = report
        tally.reported_at = self._clock()

    def view(self, member: messages.Member) -> state.View:
        """Show an instance as a policy sees it."""
        tally = self._tally(member.daemon, member.upstream_incarnation)
        return state.View(
            member=member,
            local=member.failure_domain == self._domain,
            sent=tally.sent,
            report=tally.report,
            report_age_s=self._clock() - tally.reported_at,
            latency_s=tally.latency_s,
        )

    def forget(self, known: messages.Member, stands: messages.Member) -> None:
        """Drop the tally of an instance that no longer stands.

        :param known: its record before.
        :param stands: its record now.
        """
        same = known.upstream_incarnation == stands.upstream_incarnation
        if same and stands.health not in messages.GONE:
            return
        key = (known.daemon, known.upstream_incarnation)
        tally = self._tallies.get(key)
        if tally is not None and not tally.sent:
            del self._tallies[key]
