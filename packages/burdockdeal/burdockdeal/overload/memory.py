"""The memory that all connections of callers hold together, and its bound."""

from collections import abc
import math
import typing

from burdockdeal.core import event_log
from burdockdeal.overload import decisions
from burdockdeal.overload import state

#: Share of the limit that is in use after connections were reset. The rest
#: is free, so that the connections are not compared again at each read.
_RELIEVED_SHARE = 0.9

#: Minimum seconds between two reports of connections that were reset.
_REPORT_INTERVAL_S = 1.0


class Holder(typing.Protocol):
    """A connection that holds memory."""

    def measure_holding(self) -> state.Holding:
        """Return what the connection holds."""

    def evict(self) -> None:
        """Reset the connection, and free what it holds at once."""


class MemoryLedger:
    """Bounds the memory that connections hold together.

    :param limit_bytes: the most that they may hold.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self, limit_bytes: int, clock: abc.Callable[[], float]
    ) -> None:
        self._clock = clock
        self._limit_bytes = limit_bytes
        self._held: dict[Holder, int] = {}
        #: Bytes that all connections hold.
        self.total_bytes = 0
        #: Connections that were reset since the total was reached.
        self.evicted = 0
        self._reported = 0
        self._reported_at = -math.inf

    def update(self, holder: Holder) -> None:
        """Record what a connection holds, and enforce the limit."""
        self._measure(holder)
        if self.total_bytes > self._limit_bytes:
            self._relieve()

    def remove(self, holder: Holder) -> None:
        """Forget a connection that has ended."""
        self.total_bytes -= self._held.pop(holder, 0)

    def _measure(self, holder: Holder) -> state.Holding:
        holding = holder.measure_holding()
        previous = self._held.get(holder, 0)
        self._held[holder] = holding.held_bytes
        self.total_bytes += holding.held_bytes - previous
        return holding

    def _relieve(self) -> None:
        holders = tuple(self._held)
        holdings = [self._measure(holder) for holder in holders]
        excess_bytes = self.total_bytes - _RELIEVED_SHARE * self._limit_bytes
        chosen = decisions.choose_evictions(holdings, excess_bytes)
        for position in chosen:
            self.remove(holders[position])
            holders[position].evict()
        self.evicted += len(chosen)
        self.report()

    def report(self) -> None:
        """Log the connections that were reset since the last report."""
        now = self._clock()
        is_due = now - self._reported_at >= _REPORT_INTERVAL_S
        if self.evicted == self._reported or not is_due:
            return
        event_log.warn(
            "memory_limit_reached",
            limit_bytes=self._limit_bytes,
            connections=len(self._held),
            reset=self.evicted - self._reported,
        )
        self._reported_at = now
        self._reported = self.evicted
