"""A circuit breaker for an upstream that breaks its connections.

Such an upstream always has free slots, so routing prefers it; its owner is
the first to see that no call is answered. The owner then refuses calls before
they are sent, and lets a trial call through from time to time to find out
whether the upstream has recovered.
"""

from collections import abc
import contextlib
import dataclasses

from burdockdeal.core import errors
from burdockdeal.core import event_log
from burdockdeal.core import verdict

#: Consecutive connections that break before any response, after which the
#: circuit opens.
FAILURE_THRESHOLD = 3

#: Seconds for which the circuit stays open at first and at most; each trial
#: call whose connection breaks doubles them.
MIN_OPEN_S = 0.2
MAX_OPEN_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class CircuitState:
    """The failures of an upstream and the time the circuit stays open.

    :param failures: consecutive connections that broke without a response.
    :param open_until: until when no call is sent, monotonic time in
        seconds.
    """

    failures: int = 0
    open_until: float = 0.0


def _compute_open_s(failures: int) -> float:
    doublings = failures - FAILURE_THRESHOLD
    if doublings < 0:
        return 0.0
    return min(MAX_OPEN_S, MIN_OPEN_S * 2**doublings)


def record_failure(circuit: CircuitState, now: float) -> CircuitState:
    """Record that a connection broke before any response.

    :param now: monotonic time in seconds.
    """
    failures = circuit.failures + 1
    return CircuitState(failures, now + _compute_open_s(failures))


def allows_call(
    circuit: CircuitState, now: float, *, has_trial: bool, idempotent: bool
) -> bool:
    """Return whether a call may be sent.

    :param now: monotonic time in seconds.
    :param has_trial: whether a trial call is in flight.
    :param idempotent: whether the call may be run more than once. One that
        may not is used as a trial only if no other call came for as long
        again as the circuit was open.
    """
    if circuit.failures < FAILURE_THRESHOLD:
        return True
    extra_s = 0.0 if idempotent else _compute_open_s(circuit.failures)
    return now >= circuit.open_until + extra_s and not has_trial


class CircuitBreaker:
    """The circuit breaker of the upstream beside this daemon.

    :param clock: returns monotonic time in seconds.
    """

    def __init__(self, clock: abc.Callable[[], float]) -> None:
        self._clock = clock
        self._in_flight = 0
        self._incarnation: int | None = None
        self.state = CircuitState()

    def allows_call(self, incarnation: int, *, idempotent: bool) -> bool:
        """Return whether a call may be sent now.

        :param incarnation: of the upstream; a new one starts with a closed
            circuit.
        :param idempotent: whether the call may be run more than once.
        """
        if self._incarnation not in (None, incarnation):
            self.state = CircuitState()
        self._incarnation = incarnation
        return allows_call(
            self.state,
            self._clock(),
            has_trial=self._in_flight > 0,
            idempotent=idempotent,
        )

    def _record_failure(self) -> None:
        now = self._clock()
        self.state = record_failure(self.state, now)
        if self.state.failures >= FAILURE_THRESHOLD:
            event_log.warn(
                "upstream_failing",
                failures=self.state.failures,
                open_ms=round((self.state.open_until - now) * 1000),
            )

    @contextlib.contextmanager
    def track_call(self) -> abc.Iterator[abc.Callable[[], None]]:
        """Track a call that is sent.

        :returns: the function to call when the head of its response has
            arrived.
        """
        answered = False

        def record_response() -> None:
            nonlocal answered
            answered = True
            if self.state.failures >= FAILURE_THRESHOLD:
                event_log.record(
                    "upstream_recovered", failures=self.state.failures
                )
            self.state = CircuitState()

        self._in_flight += 1
        try:
            yield record_response
        except errors.LostResponseError as error:
            broke = error.reason is verdict.Reason.BROKEN_CONNECTION
            if broke and not answered:
                self._record_failure()
            raise
        finally:
            self._in_flight -= 1
