"""Load shedding at an entry while one rank is flooded."""

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from burdockdeal.configuration import resources
from burdockdeal.core import call
from burdockdeal.core import errors
from burdockdeal.core import verdict
from burdockdeal.overload import decisions
from burdockdeal.overload import load_shedder
from burdockdeal.overload import state

RANKS = {
    "tracking": resources.Rank(0, 100.0, 50.0, 0.2),
    "booking": resources.Rank(1, 50.0, 500.0, 0.2),
    "upload": resources.Rank(2, 5.0, 2000.0, 0.1),
    "browse": resources.Rank(3, 1.0, 1000.0, 0.1),
}


class Session:
    """An entry that sends calls to instances with a limited capacity."""

    def __init__(self, limit: int = 1000) -> None:
        self.now = 100.0
        self.load_shedder = load_shedder.LoadShedder(
            lambda: RANKS, limit, lambda: self.now, random.Random(1)
        )
        self.log: list[str] = []

    def offer(self, rank: str, *, accepted: bool) -> str:
        work = call.Call("r", "service", rank, self.now + 10)
        try:
            with self.load_shedder.admit(work):
                if not accepted:
                    raise errors.NotRunError(verdict.Reason.QUEUE_FULL)
                return "RAN"
        except errors.NotRunError as error:
            return error.reason.value


def flood(session: Session, rank: str, duration_s: float) -> list[str]:
    """Offer 600 calls a second to instances that accept 200."""
    outcomes = []
    free = 0.0
    for _ in range(int(600 * duration_s)):
        session.now += 1 / 600
        free = min(5.0, free + 200 / 600)
        outcomes.append(session.offer(rank, accepted=free >= 1))
        free -= outcomes[-1] == "RAN"
    return outcomes


def test_an_entry_sends_on_little_more_than_is_accepted() -> None:
    session = Session()
    flood(session, "browse", 3)
    outcomes = flood(session, "browse", 5)
    sent = len(outcomes) - outcomes.count("OVERLOADED")
    assert outcomes.count("RAN") >= 0.95 * 200 * 5
    assert sent <= 1.35 * outcomes.count("RAN")


def test_shedding_stops_once_there_is_capacity() -> None:
    session = Session()
    flood(session, "browse", 3)
    outcomes = []
    for _ in range(600 * 6):
        session.now += 1 / 600
        outcomes.append(session.offer("browse", accepted=True))
    assert outcomes[-600:].count("OVERLOADED") <= 6


def test_a_flood_of_one_rank_sheds_no_call_of_another() -> None:
    session = Session()
    for _ in range(300):
        flood(session, "browse", 0.01)
        assert session.offer("tracking", accepted=True) == "RAN"


@given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from([*RANKS]), strategies.booleans()
        )
    ),
    strategies.integers(1, 30),
)
@settings(derandomize=True, deadline=None)
def test_requests_stay_within_the_limit_and_each_rank_has_its_floor(
    events, limit
) -> None:
    counts = dict.fromkeys(RANKS, 0)
    for rank, arrives in events * 5:
        usage = {
            name: state.RankUsage(RANKS[name].worth, RANKS[name].floor, count)
            for name, count in counts.items()
        }
        fits = decisions.has_capacity(rank, usage, limit)
        if counts[rank] < int(RANKS[rank].floor * limit):
            assert fits
        if fits and rank == "browse":
            assert decisions.has_capacity("tracking", usage, limit) or (
                counts["browse"] < int(0.1 * limit)
            )
        if arrives:
            counts[rank] += fits
        elif counts[rank]:
            counts[rank] -= 1
        assert sum(counts.values()) <= limit


def test_lag_lowers_the_limit_but_not_below_its_minimum() -> None:
    adaptive_limit = state.AdaptiveLimit(1000.0)
    seen = []
    for _ in range(40):
        in_progress = min(200, int(adaptive_limit.max_in_progress))
        adaptive_limit = decisions.adjust_limit(
            adaptive_limit, 0.5, in_progress=in_progress, limit=1000
        )
        seen.append(adaptive_limit.max_in_progress)
    assert seen[0] == pytest.approx(180)
    assert seen[-1] == decisions.MIN_LIMIT
    for _ in range(100):
        adaptive_limit = decisions.adjust_limit(
            adaptive_limit, 0.0, in_progress=9, limit=1000
        )
    assert adaptive_limit.max_in_progress == 1000


def test_an_entry_at_its_lowest_limit_keeps_serving() -> None:
    session = Session()
    session.load_shedder.adaptive_limit = state.AdaptiveLimit(
        decisions.MIN_LIMIT, 0.5
    )
    ranks = ["browse"] * 30 + ["tracking"] * 30
    held = []
    for rank in ranks:
        work = call.Call("r", "service", rank, 1.0)
        holding = session.load_shedder.admit(work)
        try:
            holding.__enter__()
        except errors.NotRunError:
            continue
        held.append((rank, holding))
    taken = [rank for rank, _ in held]
    assert len(taken) <= decisions.MIN_LIMIT
    # The floors are 3, 3, 1 and 1 of 16. Of the other 8, the rank with the
    # least worth leaves a half free, and the one with the most takes it.
    assert taken.count("browse") == 1 + 4
    assert taken.count("tracking") == 3 + 4
    for _, holding in held:
        holding.__exit__(None, None, None)
    assert session.load_shedder.in_progress == 0


@pytest.mark.parametrize(
    ("size", "waited_s", "slow"),
    [(0, 5, False), (0, 11, True), (5000, 60, True), (64_000, 60, False)],
)
def test_only_bodies_below_the_minimum_rate_are_too_slow(
    size, waited_s, slow
) -> None:
    progress = decisions.record_bytes(state.TransferProgress(), size, waited_s)
    is_too_slow = decisions.is_too_slow(progress, bytes_per_s=256, grace_s=10)
    assert is_too_slow is slow
