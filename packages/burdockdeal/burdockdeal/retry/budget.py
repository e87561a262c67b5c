"""The retry budget of this daemon, with the counts of its sends."""

from collections import abc
import dataclasses

from burdockdeal.core import call
from burdockdeal.retry import decisions
from burdockdeal.retry import fleet_budget
from burdockdeal.retry import state

#: The service and the rank whose account pays for a send.
Payer = tuple[str, str]


class Budget:
    """Holds an account for each service and rank, and the send counters.

    :param fleet: this daemon's part of the fleet-wide budget; None without
        a fleet-wide bound.
    :param tokens_per_first_send: returns the tokens that a first send
        earns.
    :param get_urgency: returns the urgency of a rank; 0 is the most urgent.
    """

    def __init__(
        self,
        fleet: fleet_budget.FleetBudget | None = None,
        tokens_per_first_send: abc.Callable[[], float] = lambda: (
            decisions.TOKENS_PER_FIRST_SEND
        ),
        get_urgency: abc.Callable[[str], int] = lambda rank: 0,
    ) -> None:
        self._fleet_budget = fleet
        self._tokens_per_first_send = tokens_per_first_send
        self._get_urgency = get_urgency
        self._accounts: dict[tuple[str, str], state.Account] = {}
        self.counters = state.SendCounters()

    def find_account(self, work: call.Call) -> state.Account:
        """Return the account that pays for the retries of a call."""
        key = (work.service, work.rank)
        return self._accounts.get(key, _NEW)

    def _store_account(self, work: call.Call, account: state.Account) -> None:
        self._accounts[(work.service, work.rank)] = account

    def record_send(self, work: call.Call, *, first: bool) -> None:
        """Count a send that left this daemon.

        The first send of a call that is not made on behalf of a retry earns
        tokens.

        :param first: whether it is the first send of the call here.
        """
        counters = self.counters
        is_original = first and decisions.is_original(work)
        self.counters = dataclasses.replace(
            counters,
            sends=counters.sends + 1,
            first_sends=counters.first_sends + is_original,
        )
        if is_original:
            earned = self._tokens_per_first_send()
            self._store_account(
                work, decisions.add_tokens(self.find_account(work), earned)
            )

    def record_arrival(self, work: call.Call, *, first: bool) -> None:
        """Count a send that may have reached an upstream.

        :param first: whether it is the first send of the call that may
            have.
        """
        if self._fleet_budget is not None:
            self._fleet_budget.record_send(work.service, first=first)

    def spend(self, work: call.Call) -> bool:
        """Pay for a retry or hedge of a call; return whether it is allowed."""
        return self.charge(work) is not None

    def charge(self, work: call.Call) -> Payer | None:
        """Pay for a retry or hedge of a call.

        If its own account is empty, less urgent ranks of the service pay, the
        least urgent first.

        :returns: who has paid; None if no account has a token or the
            fleet-wide bound forbids the send, which is counted as a denial.
        """
        less_urgent = self._list_less_urgent(work)
        payers = [(work.service, work.rank), *less_urgent]
        payer = next(
            (
                key
                for key in payers
                if self._accounts.get(key, _NEW).tokens >= 1
            ),
            None,
        )
        fleet = self._fleet_budget
        allowed = fleet is None or fleet.may_retry(
            work.service, is_most_urgent=self._is_most_urgent(work)
        )
        if payer is None or not allowed:
            self.record_denied()
            return None
        account = self._accounts.get(payer, _NEW)
        self._accounts[payer] = decisions.spend(account)
        return payer

    def _list_less_urgent(self, work: call.Call) -> list[tuple[str, str]]:
        urgency = self._get_urgency(work.rank)
        found = [
            (self._get_urgency(rank), (service, rank))
            for service, rank in self._accounts
            if service == work.service and self._get_urgency(rank) > urgency
        ]
        return [key for _, key in sorted(found, reverse=True)]

    def _is_most_urgent(self, work: call.Call) -> bool:
        urgency = self._get_urgency(work.rank)
        return all(
            self._get_urgency(rank) >= urgency
            for service, rank in self._accounts
            if service == work.service
        )

    def record_denied(self) -> None:
        """Count a retry or hedge that the budget denied."""
        denied = self.counters.denied + 1
        self.counters = dataclasses.replace(self.counters, denied=denied)

    def record_hedge(self) -> None:
        """Count a hedge."""
        hedges = self.counters.hedges + 1
        self.counters = dataclasses.replace(self.counters, hedges=hedges)

    def refund(self, payer: Payer) -> None:
        """Give back the cost of a send that has reached no upstream."""
        account = self._accounts.get(payer, _NEW)
        self._accounts[payer] = decisions.add_tokens(account, 1.0)
        if self._fleet_budget is not None:
            self._fleet_budget.refund(payer[0])

    def record_saturation(self, work: call.Call, now: float) -> None:
        """Mark the service of a call as saturated.

        Called when a second instance refuses the call as overloaded.

        :param now: monotonic time in seconds.
        """
        self._store_account(
            work, decisions.record_saturation(self.find_account(work), now)
        )

    def record_ask(self, work: call.Call, *, is_full: bool) -> None:
        """Record that an instance was asked to start a call at once.

        :param is_full: whether it had no free slot.
        """
        account = decisions.record_ask(
            self.find_account(work), is_full=is_full
        )
        self._store_account(work, account)

    def record_latency(self, work: call.Call, latency_s: float) -> None:
        """Record the time to the response headers, in seconds."""
        account = decisions.record_latency(self.find_account(work), latency_s)
        self._store_account(work, account)


_NEW = state.Account()
