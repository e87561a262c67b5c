"""Notification of other daemons of changes, ahead of the next probes."""

import asyncio
from collections import abc

#: Minimum interval in seconds between two notifications. Changes that follow
#: each other are sent together.
MIN_INTERVAL_S = 0.1


class ChangeNotifier:
    """Schedules notifications of changes.

    :param send: sends a notification, given whether other failure domains
        are notified, too.
    """

    def __init__(self, send: abc.Callable[[bool], None]) -> None:
        self._send = send
        self._scheduled: asyncio.TimerHandle | None = None
        self._includes_remote = False
        self._earliest_at = 0.0

    def close(self) -> None:
        """Cancel the scheduled notification."""
        if self._scheduled is not None:
            self._scheduled.cancel()

    def request(self, *, includes_remote: bool) -> None:
        """Request a notification as soon as the interval allows."""
        self._includes_remote |= includes_remote
        if self._scheduled is not None:
            return
        loop = asyncio.get_running_loop()
        # Even without a delay it is sent after the current callback, when
        # all changes of the same event have been made.
        self._scheduled = loop.call_at(
            max(loop.time(), self._earliest_at), self._notify
        )

    def _notify(self) -> None:
        includes_remote = self._includes_remote
        self._scheduled, self._includes_remote = None, False
        self._earliest_at = asyncio.get_running_loop().time() + MIN_INTERVAL_S
        self._send(includes_remote)
