"""Carrying out the decisions on a daemon's stop."""

from collections import abc

from burdockdeal.core import event_log
from burdockdeal.shutdown import decisions
from burdockdeal.shutdown import messages
from burdockdeal.shutdown import state

_ENDS = frozenset({state.Phase.ENDED, state.Phase.CUT})


class ShutdownController:
    """Holds where a daemon is in its stop.

    :param terms: how long it may take.
    :param busy: returns what is not yet done.
    :param actions: called when a phase begins.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self,
        terms: state.Terms,
        busy: abc.Callable[[], int],
        actions: abc.Mapping[state.Phase, abc.Callable[[], None]],
        clock: abc.Callable[[], float],
    ) -> None:
        self._terms = terms
        self._busy = busy
        self._actions = actions
        self._clock = clock
        self._stop = state.Stop()

    @property
    def is_stopping(self) -> bool:
        """Whether the stop was asked for."""
        return self._stop.phase is not state.Phase.RUNNING

    @property
    def is_complete(self) -> bool:
        """Whether the daemon is to end now."""
        return self._stop.phase in _ENDS

    def request_stop(self) -> None:
        """Ask for the stop; asked again, it ends at once."""
        self._take(messages.Asked())

    def stop_superseded(self) -> None:
        """Stop, since another process runs under this daemon's name."""
        self._take(messages.Superseded())

    def tick(self) -> None:
        """Take the time into account."""
        self._take(messages.Tick(self._busy()))

    def _take(self, event: decisions.Event) -> None:
        before = self._stop
        self._stop = decisions.step(before, event, self._terms, self._clock())
        if self._stop.phase is before.phase:
            return
        event_log.record(
            "daemon_stop", phase=self._stop.phase, busy=self._busy()
        )
        action = self._actions.get(self._stop.phase)
        if action is not None:
            action()
