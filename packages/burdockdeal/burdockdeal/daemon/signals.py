"""The signals of a daemon, from its first line to its last.

A signal without a handler ends the process, and asyncio has handlers only
while its loop runs. This module is imported first, so it imports little.
"""

from collections import abc
import signal

#: Ask for a planned stop.
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

#: Says that the settings file has changed.
RELOAD_SIGNAL = signal.SIGHUP


class SignalReceiver:
    """Receives signals, and keeps them until something handles them."""

    def __init__(self) -> None:
        # One that arrives again before it is handled is handled once.
        self._pending: dict[int, None] = {}
        self._handlers: abc.Mapping[int, abc.Callable[[], None]] = {}
        self._call_soon: abc.Callable[..., object] | None = None
        for number in (*STOP_SIGNALS, RELOAD_SIGNAL):
            signal.signal(number, self._receive)

    @property
    def is_stop_requested(self) -> bool:
        """Whether a signal that asks for a stop waits to be handled."""
        return any(number in STOP_SIGNALS for number in self._pending)

    def handle_on(
        self,
        call_soon: abc.Callable[..., object],
        handlers: abc.Mapping[int, abc.Callable[[], None]],
    ) -> None:
        """Handle signals on the event loop, those that have come included.

        :param call_soon: the loop's `call_soon_threadsafe`, since a signal
            may arrive at any moment.
        :param handlers: the function to call for each signal.
        """
        self._handlers = handlers
        self._call_soon = call_soon
        call_soon(self._dispatch)

    def keep(self) -> None:
        """Keep the signals that come from now on, as the loop ends."""
        self._call_soon = None

    def ignore(self) -> None:
        """Ignore all signals, as the process is about to exit."""
        for number in (*STOP_SIGNALS, RELOAD_SIGNAL):
            signal.signal(number, signal.SIG_IGN)

    def _receive(self, number: int, frame: object) -> None:
        is_scheduled = bool(self._pending)
        self._pending[number] = None
        if self._call_soon is not None and not is_scheduled:
            self._call_soon(self._dispatch)

    def _dispatch(self) -> None:
        pending, self._pending = self._pending, {}
        for number in pending:
            self._handlers[number]()
