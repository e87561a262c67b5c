"""The newest era of the store that this daemon knows of."""

from collections import abc

from burdockdeal.core import event_log
from burdockdeal.platform import decisions
from burdockdeal.platform import state

#: Called with the new era, when a response first shows it.
Listener = abc.Callable[[int], None]


class EraTracker:
    """Keeps the newest era that a response has shown.

    :ivar known: that era, None before the first response.
    """

    def __init__(self) -> None:
        self.known: int | None = None
        self._listeners: list[Listener] = []

    def on_new_era(self, listener: Listener) -> None:
        """Register a function to call whenever the store was restored."""
        self._listeners.append(listener)

    def record(self, answered: int) -> state.EraOutcome:
        """Record the era of a response, and notify of a newer one."""
        outcome = decisions.judge_era(self.known, answered)
        if outcome is state.EraOutcome.OUTDATED:
            return outcome
        known, self.known = self.known, answered
        if outcome is state.EraOutcome.RISEN:
            event_log.warn("store_era_risen", old=known, new=answered)
            for listener in tuple(self._listeners):
                listener(answered)
        return outcome
