"""Estimates which share of an upstream's own calls serves retries.

While an upstream runs a call, it makes calls of its own. Those made for a
retried call are part of the retry, but nothing in them says so. Their share
is therefore estimated as the share of retried calls among all calls that the
upstream is running.
"""

from collections import abc
import contextlib


class RunningCalls:
    """Counts the calls that this daemon's upstream is running."""

    def __init__(self) -> None:
        self._running = 0
        self._repeated = 0

    @contextlib.contextmanager
    def track(self, *, repeated: bool) -> abc.Iterator[None]:
        """Count a call while the block runs.

        :param repeated: whether the call had reached an upstream before.
        """
        self._running += 1
        self._repeated += repeated
        try:
            yield
        finally:
            self._running -= 1
            self._repeated -= repeated

    @property
    def retry_share(self) -> float:
        """The share of retried calls among the running calls, from 0 to 1."""
        return self._repeated / self._running if self._running else 0.0
