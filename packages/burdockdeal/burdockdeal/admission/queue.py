"""The queue of one rank's waiting calls.

The workspaces take turns in the order of the fairness module; the calls of one
workspace are in the order of their target times.
"""

import asyncio
import dataclasses
import heapq

from burdockdeal.admission import fairness
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
class Entry:
    """The place of a waiting call in the order of target times."""

    due_at: float
    number: int


class _WorkspaceQueue:
    """Holds the waiting calls of one workspace in a rank.

    Deletion is lazy: the heap entries of calls that leave early stay until
    they reach the top or make up half of the heap, so that no operation
    scans all waiting calls. Entries of calls with and without a streamed
    body are in separate heaps, and so are those of overdue calls.
    """

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self._waiters: dict[int, Waiter] = {}
        self._heaps: dict[bool, list[Entry]] = {False: [], True: []}
        self._overdue: dict[bool, list[Entry]] = {False: [], True: []}

    def __len__(self) -> int:
        return len(self._waiters)

    def push(self, waiter: Waiter) -> None:
        """Add a call."""
        request = waiter.request
        self._waiters[request.number] = waiter
        heap = self._heaps[request.streamed]
        heapq.heappush(heap, Entry(request.due_at, request.number))
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
        self.update_heaps(now)
        return not any(self._heaps.values())

    def find_first(self, *, uploads: bool, overdue: bool) -> Entry | None:
        """Find the call with the earliest target time.

        :param uploads: whether a call with a streamed body may be taken.
        :param overdue: whether to look among the overdue calls, or among the
            others.
        """
        entries = [heap[0] for heap in self._list_heaps(uploads, overdue)]
        return min(entries, default=None)

    def pop(self, *, uploads: bool, overdue: bool) -> Waiter:
        """Remove the call that `find_first` finds."""
        heap = min(
            self._list_heaps(uploads, overdue), key=lambda entries: entries[0]
        )
        return self._waiters.pop(heapq.heappop(heap).number)

    def _list_heaps(self, uploads: bool, overdue: bool) -> list[list[Entry]]:
        heaps = self._overdue if overdue else self._heaps
        kinds = (False, True) if uploads else (False,)
        return [heaps[kind] for kind in kinds if heaps[kind]]

    def update_heaps(self, now: float) -> None:
        """Drop stale entries and move overdue ones to their own heaps."""
        for kind, heap in self._heaps.items():
            while heap and self._is_past(heap[0], now):
                entry = heapq.heappop(heap)
                if entry.number in self._waiters:
                    heapq.heappush(self._overdue[kind], entry)
        for heap in self._overdue.values():
            while heap and heap[0].number not in self._waiters:
                heapq.heappop(heap)

    def _is_past(self, entry: Entry, now: float) -> bool:
        return entry.due_at < now or entry.number not in self._waiters


class RankQueue:
    """Holds the waiting calls of one rank, by workspace."""

    def __init__(self) -> None:
        self._queues: dict[str, _WorkspaceQueue] = {}

    def __len__(self) -> int:
        return sum(map(len, self._queues.values()))

    def push(self, waiter: Waiter) -> None:
        """Add a call."""
        request = waiter.request
        own = self._queues.get(request.workspace)
        if own is None:
            own = _WorkspaceQueue(request.weight)
            self._queues[request.workspace] = own
        own.weight = request.weight
        own.push(waiter)

    def discard(self, request: state.AdmissionRequest) -> Waiter | None:
        """Remove a call at any position.

        :returns: None if it is not in the queue.
        """
        own = self._queues.get(request.workspace)
        removed = own.discard(request) if own is not None else None
        self._drop_if_empty(request.workspace)
        return removed

    def list_flows(self) -> list[fairness.Flow]:
        """List the workspaces with waiting calls."""
        return [
            fairness.Flow(name, each.weight, len(each))
            for name, each in self._queues.items()
        ]

    def pop_newest(self, workspace: str | None = None) -> Waiter:
        """Remove the call of a workspace that arrived last.

        :param workspace: None for the one with the most waiting for its
            weight.
        """
        if workspace is None:
            flows = self.list_flows()
            workspace = max(flows, key=lambda flow: flow.backlog).workspace
        waiter = self._queues[workspace].pop_newest()
        self._drop_if_empty(workspace)
        return waiter

    def is_overdue(self, now: float) -> bool:
        """Return whether every waiting call is overdue.

        :param now: monotonic time in seconds.
        """
        return all(each.is_overdue(now) for each in self._queues.values())

    def pop_first(
        self,
        *,
        uploads: bool,
        now: float,
        shares: fairness.FairShares = fairness.NO_SHARES,
    ) -> Waiter:
        """Remove the call that starts next.

        Calls that are not yet overdue go before those that are. Of the
        workspaces that have any, the one with the least service goes first.

        :param uploads: whether a call with a streamed body may be taken.
        :param now: monotonic time in seconds.
        :param shares: the service that the workspaces have had.
        """
        for each in self._queues.values():
            each.update_heaps(now)
        overdue = False
        firsts = self._find_firsts(uploads=uploads, overdue=overdue)
        if not firsts:
            overdue = True
            firsts = self._find_firsts(uploads=uploads, overdue=overdue)
        workspace = fairness.choose_workspace(
            shares, sorted(firsts, key=firsts.__getitem__)
        )
        waiter = self._queues[workspace].pop(uploads=uploads, overdue=overdue)
        self._drop_if_empty(workspace)
        return waiter

    def _find_firsts(
        self, *, uploads: bool, overdue: bool
    ) -> dict[str, Entry]:
        found = {
            name: each.find_first(uploads=uploads, overdue=overdue)
            for name, each in self._queues.items()
        }
        return {name: entry for name, entry in found.items() if entry}

    def _drop_if_empty(self, workspace: str) -> None:
        if not self._queues.get(workspace, _NO_CALLS):
            self._queues.pop(workspace, None)


_NO_CALLS = _WorkspaceQueue(1.0)
