"""Registry of the sends that an owner daemon has started or fenced."""

from collections import abc
import heapq

from burdockdeal.bookings import decisions
from burdockdeal.bookings import messages
from burdockdeal.bookings import state
from burdockdeal.core import errors
from burdockdeal.core import verdict

#: Maximum number of recorded sends. No record is removed before it expires:
#: a full registry refuses to start sends and can't fence any.
MAX_SENDS = 50_000


class SendRegistry:
    """Records the sends of calls that are not idempotent.

    :param incarnation: incarnation of this daemon.
    :param clock: returns monotonic time in seconds.
    :param limit: maximum number of recorded sends.
    """

    def __init__(
        self,
        incarnation: int,
        clock: abc.Callable[[], float],
        *,
        limit: int = MAX_SENDS,
    ) -> None:
        self._incarnation = incarnation
        self._clock = clock
        self._limit = limit
        self._states: dict[state.SendId, state.SendState] = {}
        self._expirations: list[tuple[float, str, int]] = []

    def __len__(self) -> int:
        return len(self._states)

    def check(
        self, send: state.SendId, incarnation: int, deadline: float
    ) -> None:
        """Check that a send may start.

        :param incarnation: incarnation of the daemon that the send was
            addressed to.
        :param deadline: deadline on this process's clock, in seconds.
        :raises NotRunError: if it must not start.
        """
        reason = decisions.decide_start(
            self._states.get(send),
            same_incarnation=incarnation == self._incarnation,
            deadline=deadline,
            now=self._clock(),
        )
        if reason is not None:
            raise errors.NotRunError(reason)

    def start(
        self, send: state.SendId, incarnation: int, deadline: float
    ) -> None:
        """Record that a send starts now.

        :param incarnation: incarnation of the daemon that the send was
            addressed to.
        :param deadline: deadline on this process's clock, in seconds.
        :raises NotRunError: if it must not start, or the registry is full.
        """
        self.check(send, incarnation, deadline)
        if not self._record(send, state.SendState.STARTED, deadline):
            raise errors.NotRunError(verdict.Reason.OVERLOADED)

    def fence(self, request: messages.Fence) -> messages.Fenced:
        """Return the outcome of a send, and fence it if it has not started.

        The outcome is UNKNOWN if the registry is too full to record the
        fence.
        """
        send = state.SendId(request.request_id, request.attempt)
        recorded = self._states.get(send)
        fate = decisions.decide_fate(
            recorded,
            same_incarnation=request.incarnation == self._incarnation,
            deadline=request.deadline,
            now=self._clock(),
        )
        must_fence = fate is messages.Fate.NOT_RUN and recorded is None
        if must_fence and not self._record(
            send, state.SendState.FENCED, request.deadline
        ):
            fate = messages.Fate.UNKNOWN
        return messages.Fenced(fate)

    def _record(
        self, send: state.SendId, send_state: state.SendState, deadline: float
    ) -> bool:
        self._remove_expired()
        if len(self._states) >= self._limit:
            return False
        self._states[send] = send_state
        expires_at = deadline + decisions.SEND_RETENTION_S
        heapq.heappush(
            self._expirations, (expires_at, send.request_id, send.attempt)
        )
        return True

    def _remove_expired(self) -> None:
        now = self._clock()
        while self._expirations and self._expirations[0][0] <= now:
            _, request_id, attempt = heapq.heappop(self._expirations)
            del self._states[state.SendId(request_id, attempt)]
