"""The calls of one rank that wait, the earliest target first."""

import asyncio
import dataclasses
import heapq

from burdockdeal.admission import state

_SLACK = 32


@dataclasses.dataclass(frozen=True, slots=True)
class Waiter:
    """A call that waits.

    :param turn: ends when the call may start, or is refused.
    """

    ticket: state.Ticket
    turn: asyncio.Future[None]


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class _Place:
    due: float
    number: int


class Queue:
    """Holds the calls of one rank that wait.

    Calls that leave early stay in their heap until they come up or make
    up the half of it, so that no operation looks at all that wait.
    """

    def __init__(self) -> None:
        self._waiters: dict[int, Waiter] = {}
        self._heaps: dict[bool, list[_Place]] = {False: [], True: []}

    def __len__(self) -> int:
        return len(self._waiters)

    def push(self, waiter: Waiter) -> None:
        """Add a call."""
        ticket = waiter.ticket
        self._waiters[ticket.number] = waiter
        heap = self._heaps[ticket.streamed]
        heapq.heappush(heap, _Place(ticket.due, ticket.number))
        if len(heap) > 2 * len(self._waiters) + _SLACK:
            heap[:] = [p for p in heap if p.number in self._waiters]
            heapq.heapify(heap)

    def discard(self, ticket: state.Ticket) -> Waiter | None:
        """Take a call out, wherever it stands."""
        return self._waiters.pop(ticket.number, None)

    def pop_newest(self) -> Waiter:
        """Take out the call that arrived last."""
        return self._waiters.popitem()[1]

    def pop_first(self, *, uploads: bool) -> Waiter:
        """Take out the call that is due first.

        :param uploads: whether it may be one with a streamed body.
        """
        heaps = [self._heaps[False]]
        if uploads:
            heaps.append(self._heaps[True])
        for heap in heaps:
            while heap and heap[0].number not in self._waiters:
                heapq.heappop(heap)
        heap = min(filter(None, heaps), key=lambda places: places[0])
        return self._waiters.pop(heapq.heappop(heap).number)
