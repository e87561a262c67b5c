"""A circuit breaker in front of an upstream that breaks its connections.

Such an upstream always has free slots, so that it draws calls; its owner is
the first to see that none of them is answered. It then refuses calls before
they are sent, and lets one through now and then to see whether that is over.
"""

from collections import abc
import contextlib
import dataclasses

from burdockdeal.core import errors
from burdockdeal.core import event_log
from burdockdeal.core import verdict

#: Connections in a row that break before any answer, after which no call
#: is sent.
BROKEN_TO_OPEN = 3

#: Seconds until a call is tried; each try that breaks doubles them.
FIRST_PAUSE_S = 0.2
LONGEST_PAUSE_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Circuit:
    """What is held against an upstream.

    :param broken: connections in a row that broke without an answer.
    :param open_until: monotonic time until which no call is sent.
    """

    broken: int = 0
    open_until: float = 0.0


def _find_pause_s(broken: int) -> float:
    beyond = broken - BROKEN_TO_OPEN
    if beyond < 0:
        return 0.0
    return min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2**beyond)


def note_broken(circuit: Circuit, now: float) -> Circuit:
    """Take in that a connection broke before any answer."""
    broken = circuit.broken + 1
    return Circuit(broken, now + _find_pause_s(broken))


def allows_call(
    circuit: Circuit, now: float, *, trying: bool, idempotent: bool
) -> bool:
    """Tell whether a call may be sent.

    :param trying: whether a call is under way to see whether the upstream
        answers again.
    :param idempotent: whether the call may be run more than once; another
        is risked only if none came in a pause more.
    """
    if circuit.broken < BROKEN_TO_OPEN:
        return True
    spared_s = 0.0 if idempotent else _find_pause_s(circuit.broken)
    return now >= circuit.open_until + spared_s and not trying


class CircuitBreaker:
    """Holds the circuit of the upstream beside this daemon.

    :param clock: returns monotonic time in seconds.
    """

    def __init__(self, clock: abc.Callable[[], float]) -> None:
        self._clock = clock
        self._under_way = 0
        self._incarnation: int | None = None
        self.circuit = Circuit()

    def allows_call(self, incarnation: int, *, idempotent: bool) -> bool:
        """Tell whether a call may be sent now.

        :param incarnation: of the upstream; a new one is held to nothing.
        """
        if self._incarnation not in (None, incarnation):
            self.circuit = Circuit()
        self._incarnation = incarnation
        return allows_call(
            self.circuit,
            self._clock(),
            trying=self._under_way > 0,
            idempotent=idempotent,
        )

    def _note_broken(self) -> None:
        now = self._clock()
        self.circuit = note_broken(self.circuit, now)
        if self.circuit.broken >= BROKEN_TO_OPEN:
            event_log.warn(
                "upstream_failing",
                broken=self.circuit.broken,
                pause_ms=round((self.circuit.open_until - now) * 1000),
            )

    @contextlib.contextmanager
    def track_call(self) -> abc.Iterator[abc.Callable[[], None]]:
        """Watch a call that is sent.

        :returns: the function to call when the head of its answer is here.
        """
        answered = False

        def note_answer() -> None:
            nonlocal answered
            answered = True
            if self.circuit.broken >= BROKEN_TO_OPEN:
                event_log.record(
                    "upstream_answers", broken=self.circuit.broken
                )
            self.circuit = Circuit()

        self._under_way += 1
        try:
            yield note_answer
        except errors.LostResponseError as error:
            broke = error.reason is verdict.Reason.BROKEN_CONNECTION
            if broke and not answered:
                self._note_broken()
            raise
        finally:
            self._under_way -= 1
