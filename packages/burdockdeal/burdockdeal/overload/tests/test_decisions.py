"""What an entry sheds, in floods of any rank."""

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
from burdockdeal.overload import guard
from burdockdeal.overload import state

RANKS = {
    "tracking": resources.Rank(0, 100.0, 50.0, 0.2),
    "booking": resources.Rank(1, 50.0, 500.0, 0.2),
    "upload": resources.Rank(2, 5.0, 2000.0, 0.1),
    "browse": resources.Rank(3, 1.0, 1000.0, 0.1),
}


class Session:
    """An entry whose owners find room for some calls a second."""

    def __init__(self, limit: int = 1000) -> None:
        self.now = 100.0
        self.guard = guard.Guard(
            lambda: RANKS, limit, lambda: self.now, random.Random(1)
        )
        self.log: list[str] = []

    def offer(self, rank: str, *, room: bool) -> str:
        work = call.Call("r", "service", rank, self.now + 10)
        try:
            with self.guard.hold(work):
                if not room:
                    raise errors.NotRunError(verdict.Reason.QUEUE_FULL)
                return "RAN"
        except errors.NotRunError as error:
            return error.reason.value


def flood(session: Session, rank: str, seconds: float) -> list[str]:
    """Offer 600 calls a second, of which owners find room for 200."""
    ends = []
    free = 0.0
    for _ in range(int(600 * seconds)):
        session.now += 1 / 600
        free = min(5.0, free + 200 / 600)
        ends.append(session.offer(rank, room=free >= 1))
        free -= ends[-1] == "RAN"
    return ends


def test_an_entry_sends_on_little_more_than_finds_room() -> None:
    session = Session()
    flood(session, "browse", 3)
    ends = flood(session, "browse", 5)
    sent = len(ends) - ends.count("OVERLOADED")
    assert ends.count("RAN") >= 0.95 * 200 * 5
    assert sent <= 1.35 * ends.count("RAN")


def test_an_entry_holds_nothing_back_once_there_is_room() -> None:
    session = Session()
    flood(session, "browse", 3)
    ends = []
    for _ in range(600 * 6):
        session.now += 1 / 600
        ends.append(session.offer("browse", room=True))
    assert ends[-600:].count("OVERLOADED") <= 6


def test_a_flood_of_one_rank_holds_no_other_back() -> None:
    session = Session()
    for _ in range(300):
        flood(session, "browse", 0.01)
        assert session.offer("tracking", room=True) == "RAN"


SHARES = strategies.fixed_dictionaries(
    {
        name: strategies.builds(
            state.Share,
            worth=strategies.just(rank.worth),
            floor=strategies.just(rank.floor),
            in_progress=strategies.integers(0, 200),
            arrived=strategies.floats(0, 1000),
        )
        for name, rank in RANKS.items()
    }
)


@given(SHARES, strategies.floats(0, 0.95))
@settings(derandomize=True, deadline=None)
def test_a_strained_loop_sheds_the_least_worthy_and_spares_floors(
    shares, pressure
) -> None:
    strain = state.Strain(0.1, pressure)
    shed = {
        name: decisions.find_shed_share(name, shares, strain)
        for name in shares
    }
    whole = sum(share.arrived for share in shares.values())
    over = [n for n, s in shares.items() if s.arrived > s.floor * whole]
    for name in shares:
        assert 0 <= shed[name] < 1
        assert name in over or shed[name] == 0
    by_worth = sorted(over, key=lambda name: shares[name].worth)
    parts = [shed[name] for name in by_worth]
    assert parts == sorted(parts, reverse=True)


@given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from([*RANKS]), strategies.booleans()
        )
    ),
    strategies.integers(1, 30),
)
@settings(derandomize=True, deadline=None)
def test_requests_stay_within_the_bound_and_each_rank_has_its_floor(
    events, limit
) -> None:
    counts = dict.fromkeys(RANKS, 0)
    for rank, arrives in events * 5:
        shares = {
            name: state.Share(RANKS[name].worth, RANKS[name].floor, count, 0.0)
            for name, count in counts.items()
        }
        fits = decisions.has_room(rank, shares, limit)
        if counts[rank] < int(RANKS[rank].floor * limit):
            assert fits
        if fits and rank == "browse":
            assert decisions.has_room("tracking", shares, limit) or (
                counts["browse"] < int(0.1 * limit)
            )
        if arrives:
            counts[rank] += fits
        elif counts[rank]:
            counts[rank] -= 1
        assert sum(counts.values()) <= limit


def test_lag_counts_only_with_work_in_progress() -> None:
    strain = state.Strain()
    for _ in range(20):
        strain = decisions.note_tick(strain, 0.5, in_progress=2)
    assert strain.pressure == 0
    for _ in range(20):
        strain = decisions.note_tick(strain, 0.5, in_progress=50)
    assert strain.pressure == pytest.approx(0.95)
    for _ in range(60):
        strain = decisions.note_tick(strain, 0.0, in_progress=50)
    assert strain.pressure == 0


@pytest.mark.parametrize(
    ("size", "waited_s", "slow"),
    [(0, 5, False), (0, 11, True), (5000, 60, True), (64_000, 60, False)],
)
def test_only_bodies_that_trickle_are_too_slow(size, waited_s, slow) -> None:
    flow = decisions.note_bytes(state.Flow(), size, waited_s)
    told = decisions.is_too_slow(flow, bytes_per_s=256, grace_s=10)
    assert told is slow
