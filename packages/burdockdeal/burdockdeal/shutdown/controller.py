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
    :param actions: functions to call on entering a phase. One that fails
        does not keep the others from being called.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self,
        timeouts: state.Timeouts,
        count_busy: abc.Callable[[], int],
        actions: abc.Mapping[
            state.Phase, abc.Sequence[abc.Callable[[], None]]
        ],
        clock: abc.Callable[[], float],
    ) -> None:
        self._timeouts = timeouts
        self._count_busy = count_busy
        self._actions = actions
        self._clock = clock
        self._shutdown = state.Shutdown()
        self._failures: set[messages.Failed] = set()

    @property
    def is_stopping(self) -> bool:
        """Whether the shutdown has been requested."""
        return self._shutdown.phase is not state.Phase.RUNNING

    @property
    def is_complete(self) -> bool:
        """Whether the process should exit now."""
        return self._shutdown.phase in _FINAL_PHASES

    @property
    def has_failed(self) -> bool:
        """Whether a part of the daemon has failed."""
        return self._shutdown.has_failed

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

    def fail(self, failure: messages.Failed) -> None:
        """Shut down because a part of the daemon has failed.

        The platform restarts a daemon that exits. One that kept running
        without one of its parts would look healthy. Work in progress is
        completed first.
        """
        if failure in self._failures:
            return
        self._failures.add(failure)
        event_log.warn(
            "daemon_crashed", reason=failure.reason, where=failure.where
        )
        self._apply(failure)

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
        for action in self._actions.get(self._shutdown.phase, ()):
            try:
                action()
            except Exception as error:
                self.fail(describe_failure("shutdown", error))


def describe_failure(part: str, error: BaseException) -> messages.Failed:
    """Describe an error that no code handles.

    :param part: the part of the daemon that it has ended.
    """
    return messages.Failed(
        f"{part}: {error!r}", event_log.format_traceback(error)
    )
