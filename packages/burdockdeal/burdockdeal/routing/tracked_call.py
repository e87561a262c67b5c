"""One call in flight, whose outcome is recorded for its instance."""

import asyncio
from collections import abc
import types
import typing

from burdockdeal.core import errors
from burdockdeal.core import verdict
from burdockdeal.routing import instance_group
from burdockdeal.routing import instance_stats

_SERVER_ERROR = 500


class Tracker(typing.Protocol):
    """Records the outcomes of calls."""

    clock: abc.Callable[[], float]

    def find_stats(
        self, key: instance_group.InstanceKey
    ) -> instance_stats.InstanceStats:
        """Return the statistics of an instance."""

    def handle_response(
        self,
        key: instance_group.InstanceKey,
        service: str,
        elapsed_s: float,
        *,
        failed: bool,
        timed: bool,
    ) -> None:
        """Record that the response headers of a call have arrived."""

    def record_error(
        self,
        key: instance_group.InstanceKey,
        service: str,
        reason: verdict.Reason,
        waited_s: float,
    ) -> None:
        """Record that a call ended without an upstream's response."""

    def record_failure(
        self, key: instance_group.InstanceKey, service: str
    ) -> None:
        """Record a failure of an instance."""

    def record_abandoned(
        self, key: instance_group.InstanceKey, service: str, waited_s: float
    ) -> None:
        """Record that a call was given up before any response."""


class TrackedCall:
    """Context manager that records the outcome of one call in flight."""

    def __init__(
        self,
        tracker: Tracker,
        key: instance_group.InstanceKey,
        service: str,
        timed: bool,
    ) -> None:
        self._tracker = tracker
        self._key = key
        self._service = service
        self._timed = timed
        self._responded = False

    def __enter__(self) -> "TrackedCall":
        self._started = self._tracker.clock()
        self._stats = self._tracker.find_stats(self._key)
        self._number = self._stats.start_call(self._started, self._timed)
        return self

    def record_response(self, status: int) -> None:
        """Record that the response headers have arrived.

        :param status: the upstream's HTTP status.
        """
        now = self._tracker.clock()
        elapsed_s = now - self._started
        self._responded = True
        self._stats.record_response(self._number, elapsed_s)
        self._tracker.handle_response(
            self._key,
            self._service,
            elapsed_s,
            failed=status >= _SERVER_ERROR,
            timed=self._timed,
        )

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        waited_s = 0.0
        if self._timed and not self._responded:
            waited_s = self._tracker.clock() - self._started
        self._stats.end_call(self._number)
        if isinstance(error, errors.CallError):
            self._tracker.record_error(
                self._key, self._service, error.reason, waited_s
            )
        elif isinstance(error, errors.BurdockdealError):
            self._tracker.record_failure(self._key, self._service)
        elif isinstance(error, asyncio.CancelledError):
            self._tracker.record_abandoned(self._key, self._service, waited_s)
