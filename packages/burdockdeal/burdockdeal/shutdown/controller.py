"""Controller of a daemon's shutdown."""

from collections import abc

from burdockdeal.core import event_log
from burdockdeal.shutdown import decisions
from burdockdeal.shutdown import messages
from burdockdeal.shutdown import state

_FINAL_PHASES = frozenset({state.Phase.ENDED, state.Phase.CUT})


class ShutdownController:
    """Tracks a daemon's shutdown and runs the actions of its phases.

    :param timeouts: limits on the duration of the shutdown.
    :param count_busy: returns the number of requests, idempotency-key runs
        and responses that are not yet complete.
    :param actions: functions to call on entering a phase.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self,
        timeouts: state.Timeouts,
        count_busy: abc.Callable[[], int],
        actions: abc.Mapping[state.Phase, abc.Callable[[], None]],
        clock: abc.Callable[[], float],
    ) -> None:
        self._timeouts = timeouts
        self._count_busy = count_busy
        self._actions = actions
        self._clock = clock
        self._shutdown = state.Shutdown()

    @property
    def is_stopping(self) -> bool:
        """Whether the shutdown has been requested."""
        return self._shutdown.phase is not state.Phase.RUNNING

    @property
    def is_complete(self) -> bool:
        """Whether the process should exit now."""
        return self._shutdown.phase in _FINAL_PHASES

    def limit_deadline(self, deadline: float) -> float:
        """Limit the deadline of a request that arrives during a stop.

        :param deadline: monotonic time in seconds.
        """
        return decisions.limit_deadline(
            self._shutdown, self._timeouts, deadline
        )

    def request_stop(self) -> None:
        """Request the shutdown; a second request aborts work in progress."""
        self._apply(messages.StopRequested())

    def stop_superseded(self) -> None:
        """Shut down because another process runs under this daemon's name."""
        self._apply(messages.Superseded())

    def tick(self) -> None:
        """Check timeouts and whether all work is complete."""
        self._apply(messages.Tick(self._count_busy()))

    def _apply(self, event: decisions.Event) -> None:
        previous = self._shutdown
        self._shutdown = decisions.step(
            previous, event, self._timeouts, self._clock()
        )
        if self._shutdown.phase is previous.phase:
            return
        event_log.record(
            "daemon_stop", phase=self._shutdown.phase, busy=self._count_busy()
        )
        action = self._actions.get(self._shutdown.phase)
        if action is not None:
            action()
