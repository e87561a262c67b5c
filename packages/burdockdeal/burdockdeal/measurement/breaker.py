"""A circuit breaker in front of an upstream that breaks its connections.

Such an upstream always has free slots, so that it draws calls; its owner is
the first to see that none of them is answered. It then refuses calls before
they are sent, and lets one through now and then to see whether that is over.
"""

from collections import abc
import contextlib
import dataclasses

from burdockdeal.core import errors

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


def note_broken(circuit: Circuit, now: float) -> Circuit:
    """Take in that a connection broke before any answer."""
    broken = circuit.broken + 1
    beyond = broken - BROKEN_TO_OPEN
    if beyond < 0:
        return Circuit(broken, circuit.open_until)
    pause_s = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2**beyond)
    return Circuit(broken, now + pause_s)


def may_send(
    circuit: Circuit, now: float, *, trying: bool, idempotent: bool
) -> bool:
    """Tell whether a call may be sent.

    :param trying: whether a call is under way to see whether the upstream
        answers again.
    :param idempotent: whether the call may be run more than once; only
        such a call is risked.
    """
    if circuit.broken < BROKEN_TO_OPEN:
        return True
    return now >= circuit.open_until and idempotent and not trying


class Breaker:
    """Holds the circuit of the upstream beside this daemon.

    :param clock: returns monotonic time in seconds.
    """

    def __init__(self, clock: abc.Callable[[], float]) -> None:
        self._clock = clock
        self._under_way = 0
        self.circuit = Circuit()

    def may_send(self, *, idempotent: bool) -> bool:
        """Tell whether a call may be sent now."""
        return may_send(
            self.circuit,
            self._clock(),
            trying=self._under_way > 0,
            idempotent=idempotent,
        )

    @contextlib.contextmanager
    def watch(self) -> abc.Iterator[abc.Callable[[], None]]:
        """Watch a call that is sent.

        :returns: the function to call when the head of its answer is here.
        """
        answered = False

        def note_answer() -> None:
            nonlocal answered
            answered = True
            self.circuit = Circuit()

        self._under_way += 1
        try:
            yield note_answer
        except errors.LostAnswerError:
            if not answered:
                self.circuit = note_broken(self.circuit, self._clock())
            raise
        finally:
            self._under_way -= 1
