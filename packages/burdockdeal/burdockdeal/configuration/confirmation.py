"""How long ago the configuration was last confirmed by the store."""

from collections import abc
import math

from burdockdeal.settings import fleet_terms

#: Confirmations within the time in which a withdrawn key stops being valid, so
#: that a single one that fails does not refuse requests.
_PER_REVOCATION = 4


def choose_interval_s(terms: fleet_terms.KeyTerms) -> float | None:
    """Choose the seconds between two confirmations, None to make none."""
    return terms.revoke_s / _PER_REVOCATION if terms.fail_closed else None


class Confirmation:
    """Holds when a read of the store last succeeded.

    :param terms: how keys are treated without contact to the store.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self, terms: fleet_terms.KeyTerms, clock: abc.Callable[[], float]
    ) -> None:
        self._terms = terms
        self._clock = clock
        self._confirmed_at = -math.inf

    def begin(self) -> abc.Callable[[], None]:
        """Begin a read; return the function to call once it has succeeded.

        The read confirms the configuration as of its start: a later change
        may be missing from its response.
        """
        began_at = self._clock()

        def record() -> None:
            self._confirmed_at = max(self._confirmed_at, began_at)

        return record

    def is_recent(self) -> bool:
        """Return whether requests that need a key may run.

        Answers a daemon that can't reach the store while a key is withdrawn.
        """
        if not self._terms.fail_closed:
            return True
        return self._clock() - self._confirmed_at <= self._terms.revoke_s
