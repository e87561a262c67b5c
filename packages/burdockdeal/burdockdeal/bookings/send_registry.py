"""The ledger of an owner: which sends started, which never may."""

from collections import abc
import heapq

from burdockdeal.bookings import decisions
from burdockdeal.bookings import messages
from burdockdeal.bookings import state
from burdockdeal.core import errors
from burdockdeal.core import verdict

#: Sends that are remembered at once. None is forgotten before its time:
#: a full ledger starts nothing and promises nothing.
LIMIT = 50_000


class SendRegistry:
    """Holds what is known of the sends of calls that must not run twice.

    :param incarnation: of this daemon.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self,
        incarnation: int,
        clock: abc.Callable[[], float],
        *,
        limit: int = LIMIT,
    ) -> None:
        self._incarnation = incarnation
        self._clock = clock
        self._limit = limit
        self._stages: dict[state.SendId, state.SendState] = {}
        self._ends: list[tuple[float, str, int]] = []

    def __len__(self) -> int:
        return len(self._stages)

    def check(
        self, send: state.SendId, incarnation: int, deadline: float
    ) -> None:
        """Check whether a send may start, now or after it waited.

        :raises NotRunError: if it may not.
        """
        reason = decisions.decide_start(
            self._stages.get(send),
            same_incarnation=incarnation == self._incarnation,
            deadline=deadline,
            now=self._clock(),
        )
        if reason is not None:
            raise errors.NotRunError(reason)

    def start(
        self, send: state.SendId, incarnation: int, deadline: float
    ) -> None:
        """Note that a send starts now.

        :raises NotRunError: if it may not.
        """
        self.check(send, incarnation, deadline)
        if not self._note(send, state.SendState.STARTED, deadline):
            raise errors.NotRunError(verdict.Reason.OVERLOADED)

    def fence(self, ask: messages.Fence) -> messages.Fenced:
        """Tell what became of a send; if it did not start, it never will."""
        send = state.SendId(ask.request_id, ask.attempt)
        known = self._stages.get(send)
        fate = decisions.decide_fate(
            known,
            same_incarnation=ask.incarnation == self._incarnation,
            deadline=ask.deadline,
            now=self._clock(),
        )
        fences = fate is messages.Fate.NOT_RUN and known is None
        if fences and not self._note(
            send, state.SendState.FENCED, ask.deadline
        ):
            fate = messages.Fate.UNKNOWN
        return messages.Fenced(fate)

    def _note(
        self, send: state.SendId, stage: state.SendState, deadline: float
    ) -> bool:
        self._forget()
        if len(self._stages) >= self._limit:
            return False
        self._stages[send] = stage
        end = deadline + decisions.KEEP_S
        heapq.heappush(self._ends, (end, send.request_id, send.attempt))
        return True

    def _forget(self) -> None:
        now = self._clock()
        while self._ends and self._ends[0][0] <= now:
            _, request_id, attempt = heapq.heappop(self._ends)
            del self._stages[state.SendId(request_id, attempt)]
