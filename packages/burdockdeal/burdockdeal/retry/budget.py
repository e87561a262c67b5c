"""The budget: what one entry has sent, and may send again."""

from collections import abc
import dataclasses

from burdockdeal.core import call
from burdockdeal.retry import decisions
from burdockdeal.retry import fleet_budget
from burdockdeal.retry import state


class Budget:
    """Holds an account for each service and rank, and the tally.

    :param allowance: what the entry may add to the fleet's sends; None
        without a bound on the fleet.
    :param earned_share: returns the tokens that a first send earns.
    """

    def __init__(
        self,
        allowance: fleet_budget.FleetBudget | None = None,
        tokens_per_first_send: abc.Callable[[], float] = lambda: (
            decisions.TOKENS_PER_FIRST_SEND
        ),
    ) -> None:
        self._allowance = allowance
        self._earned_share = tokens_per_first_send
        self._accounts: dict[tuple[str, str], state.Account] = {}
        self.counters = state.Tally()

    def find(self, work: call.Call) -> state.Account:
        """Find the account that pays for a call."""
        key = (work.service, work.rank)
        return self._accounts.get(key, _NEW)

    def _keep(self, work: call.Call, account: state.Account) -> None:
        self._accounts[(work.service, work.rank)] = account

    def count_send(self, work: call.Call, *, first: bool) -> None:
        """Count a send that left this entry.

        :param first: whether it is the call's first here.
        """
        counters = self.counters
        earns = first and decisions.is_first(work)
        self.counters = dataclasses.replace(
            counters,
            sends=counters.sends + 1,
            first_sends=counters.first_sends + earns,
        )
        if earns:
            share = self._earned_share()
            self._keep(work, decisions.earn(self.find(work), share))

    def count_arrival(self, work: call.Call, *, first: bool) -> None:
        """Count a send that may have reached an upstream.

        :param first: whether it is the call's first that did.
        """
        if self._allowance is not None:
            self._allowance.count(work.service, first=first)

    def pay(self, work: call.Call) -> bool:
        """Pay for one more send of a call.

        :returns: False if the account can't pay.
        """
        account = decisions.pay(self.find(work))
        shared = self._allowance
        allowed = shared is None or shared.may_repeat(work.service)
        if account is None or not allowed:
            self.deny()
            return False
        self._keep(work, account)
        return True

    def deny(self) -> None:
        """Count a send that the budget forbade."""
        denied = self.counters.denied + 1
        self.counters = dataclasses.replace(self.counters, denied=denied)

    def count_hedge(self) -> None:
        """Count a hedge."""
        hedges = self.counters.hedges + 1
        self.counters = dataclasses.replace(self.counters, hedges=hedges)

    def note_full(self, work: call.Call, now: float) -> None:
        """Take in that a second instance refused a call as full."""
        self._keep(work, decisions.note_full(self.find(work), now))

    def note_latency(self, work: call.Call, latency_s: float) -> None:
        """Take in how long an answer's head took, or at least took."""
        account = decisions.note_latency(self.find(work), latency_s)
        self._keep(work, account)


_NEW = state.Account()
