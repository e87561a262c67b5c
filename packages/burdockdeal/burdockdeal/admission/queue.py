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
        self._overdue: dict[bool, list[_Place]] = {False: [], True: []}

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

    def is_overdue(self, now: float) -> bool:
        """Tell whether every call that waits is overdue."""
        self._sort_out(now)
        return not any(self._heaps.values())

    def pop_first(self, *, uploads: bool, now: float) -> Waiter:
        """Take out the call that is due first, one in time if there is one.

        :param uploads: whether it may be one with a streamed body.
        """
        self._sort_out(now)
        kinds = (False, True) if uploads else (False,)
        heaps = [self._heaps[kind] for kind in kinds]
        if not any(heaps):
            heaps = [self._overdue[kind] for kind in kinds]
        heap = min(filter(None, heaps), key=lambda places: places[0])
        return self._waiters.pop(heapq.heappop(heap).number)

    def _sort_out(self, now: float) -> None:
        """Drop the places of calls that left; set overdue ones apart."""
        for kind, heap in self._heaps.items():
            while heap and self._is_past(heap[0], now):
                place = heapq.heappop(heap)
                if place.number in self._waiters:
                    heapq.heappush(self._overdue[kind], place)
        for heap in self._overdue.values():
            while heap and heap[0].number not in self._waiters:
                heapq.heappop(heap)

    def _is_past(self, place: _Place, now: float) -> bool:
        return place.due < now or place.number not in self._waiters
