"""Assembly of what limits the sends of one daemon after the first."""

from collections import abc

from burdockdeal.retry import budget as budgets
from burdockdeal.retry import fleet_budget
from burdockdeal.retry import hedging
from burdockdeal.settings import model

#: Returns the settings, which may be reloaded.
GetSettings = abc.Callable[[], model.Settings]


def build_retry_budget(
    get_settings: GetSettings,
    count_daemons: abc.Callable[[], int],
    clock: abc.Callable[[], float],
    get_retry_share: abc.Callable[[], float],
    get_urgency: abc.Callable[[str], int],
) -> budgets.Budget:
    """Build the retry budget, with a fleet-wide bound if one is set.

    :param count_daemons: returns the number of active daemons.
    :param clock: returns monotonic time in seconds.
    :param get_retry_share: returns the share of the calls made by this
        daemon's upstream that serve a retry.
    :param get_urgency: returns the urgency of a rank.
    """
    if get_settings().fleet_retries is None:
        return budgets.Budget(get_urgency=get_urgency)
    return budgets.Budget(
        fleet_budget.FleetBudget(
            lambda: get_settings().fleet_retries,
            count_daemons,
            clock,
            get_retry_share,
        ),
        lambda: fleet_budget.USABLE_SHARE * get_settings().fleet_retries.share,
        get_urgency=get_urgency,
    )


def build_hedge_limiter(
    get_settings: GetSettings,
) -> hedging.HedgeLimiter | None:
    """Build the limiter of hedges, None if the settings don't limit them."""

    def get_share() -> float:
        # A reload of the settings may have removed the limit.
        terms = get_settings().hedging
        return terms.share if terms is not None else 0.0

    if get_settings().hedging is None:
        return None
    return hedging.HedgeLimiter(get_share)
