"""Which of the calls that an upstream runs were sent before.

An upstream makes calls of its own while it runs one. Those that it makes for
a repeated call are repeats themselves, but nothing in them says so; that
part of its calls is taken for them which its repeated calls are of all that
it runs.
"""

from collections import abc
import contextlib


class RunningCalls:
    """Counts the calls that run beside this daemon."""

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
        """The share of the calls that run which were sent before."""
        return self._repeated / self._running if self._running else 0.0
