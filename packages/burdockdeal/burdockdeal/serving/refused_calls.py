"""Calls that the upstream has refused, so that they may be sent again."""

from collections import abc
import heapq


class RefusedCalls:
    """Remembers the ids of refused calls until their deadlines.

    A faulty upstream may write a refusal a second time. The copy has the id
    of the call, so it could be taken for the response to a later send of the
    same call on the same connection.

    :param clock: returns monotonic time in seconds.
    """

    def __init__(self, clock: abc.Callable[[], float]) -> None:
        self._clock = clock
        self._ids: set[str] = set()
        self._expirations: list[tuple[float, str]] = []

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._ids

    def __len__(self) -> int:
        return len(self._ids)

    def record(self, request_id: str, deadline: float) -> None:
        """Remember a call until its deadline, in seconds of the clock."""
        now = self._clock()
        while self._expirations and self._expirations[0][0] <= now:
            self._ids.discard(heapq.heappop(self._expirations)[1])
        if request_id not in self._ids:
            self._ids.add(request_id)
            heapq.heappush(self._expirations, (deadline, request_id))
