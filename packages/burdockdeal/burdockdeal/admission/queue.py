"""The queue of one rank's waiting calls, ordered by target time."""

import asyncio
import dataclasses
import heapq

from burdockdeal.admission import state

#: Stale heap entries tolerated before a heap is rebuilt.
_STALE_ENTRIES = 32


@dataclasses.dataclass(frozen=True, slots=True)
class Waiter:
    """A waiting call.

    :param granted: set when the call may start; set to an exception when
        it is refused.
    """

    request: state.AdmissionRequest
    granted: asyncio.Future[None]


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class _Entry:
    due_at: float
    number: int


class RankQueue:
    """Holds the waiting calls of one rank.

    Deletion is lazy: the heap entries of calls that leave early stay until
    they reach the top or make up half of the heap, so that no operation
    scans all waiting calls. Entries of calls with and without a streamed
    body are in separate heaps, and so are those of overdue calls.
    """

    def __init__(self) -> None:
        self._waiters: dict[int, Waiter] = {}
        self._heaps: dict[bool, list[_Entry]] = {False: [], True: []}
        self._overdue: dict[bool, list[_Entry]] = {False: [], True: []}

    def __len__(self) -> int:
        return len(self._waiters)

    def push(self, waiter: Waiter) -> None:
        """Add a call."""
        request = waiter.request
        self._waiters[request.number] = waiter
        heap = self._heaps[request.streamed]
        heapq.heappush(heap, _Entry(request.due_at, request.number))
        if len(heap) > 2 * len(self._waiters) + _STALE_ENTRIES:
            heap[:] = [p for p in heap if p.number in self._waiters]
            heapq.heapify(heap)

    def discard(self, request: state.AdmissionRequest) -> Waiter | None:
        """Remove a call at any position.

        :returns: None if it is not in the queue.
        """
        return self._waiters.pop(request.number, None)

    def pop_newest(self) -> Waiter:
        """Remove the call that arrived last."""
        return self._waiters.popitem()[1]

    def is_overdue(self, now: float) -> bool:
        """Return whether every waiting call is overdue.

        :param now: monotonic time in seconds.
        """
        self._update_heaps(now)
        return not any(self._heaps.values())

    def pop_first(self, *, uploads: bool, now: float) -> Waiter:
        """Remove the call with the earliest target time.

        Calls that are not yet overdue go before those that are.

        :param uploads: whether a call with a streamed body may be taken.
        :param now: monotonic time in seconds.
        """
        self._update_heaps(now)
        kinds = (False, True) if uploads else (False,)
        heaps = [self._heaps[kind] for kind in kinds]
        if not any(heaps):
            heaps = [self._overdue[kind] for kind in kinds]
        heap = min(filter(None, heaps), key=lambda entries: entries[0])
        return self._waiters.pop(heapq.heappop(heap).number)

    def _update_heaps(self, now: float) -> None:
        """Drop stale entries and move overdue ones to their own heaps."""
        for kind, heap in self._heaps.items():
            while heap and self._is_past(heap[0], now):
                entry = heapq.heappop(heap)
                if entry.number in self._waiters:
                    heapq.heappush(self._overdue[kind], entry)
        for heap in self._overdue.values():
            while heap and heap[0].number not in self._waiters:
                heapq.heappop(heap)

    def _is_past(self, entry: _Entry, now: float) -> bool:
        return entry.due_at < now or entry.number not in self._waiters
