"""The tree along which the configuration spreads."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from burdockdeal.announce import state as announce
from burdockdeal.configuration import messages
from burdockdeal.configuration import tree
from burdockdeal.membership import messages as membership
from burdockdeal.settings import model

Health = membership.Health
names = strategies.sets(strategies.text("abc", min_size=1, max_size=4))


def make_member(
    daemon: str, domain: str, health: Health = Health.ALIVE, port: int = 0
) -> membership.Member:
    return membership.Member(
        daemon=daemon,
        failure_domain=domain,
        region="r",
        peer=model.Address("127.0.0.1", port or sum(daemon.encode())),
        incarnation=1,
        health=health,
        phase=announce.Phase.ABSENT,
    )


def reach(
    known: set[str], first: str, last: str, path: tuple[str, ...], own: str
) -> list[str]:
    """Walk the tree as daemons with the same view do."""
    path = (*path, own)
    found = [own]
    chosen = tree.select_range(known, first, last, path)
    for branch in tree.split_range(chosen, first, last, fanout=3):
        head = branch.names[-1]
        found += reach(known, branch.first, branch.last, path, head)
    return found


@settings(derandomize=True)
@given(names, strategies.data())
def test_every_daemon_is_reached_once(known: set[str], data) -> None:
    known |= {"a"}
    root = data.draw(strategies.sampled_from(sorted(known)))
    assert sorted(reach(known, "", "", (), root)) == sorted(known)


@settings(derandomize=True)
@given(names, strategies.text("abc", max_size=4), strategies.integers(1, 12))
def test_branches_never_overlap(
    known: set[str], name: str, fanout: int
) -> None:
    branches = tree.split_range(tuple(sorted(known)), "", "", fanout=fanout)
    holders = [
        branch
        for branch in branches
        if branch.first <= name and (not branch.last or name < branch.last)
    ]
    assert len(holders) == (1 if known else 0)
    assert len(branches) <= fanout


def test_a_thousand_daemons_are_three_steps_deep() -> None:
    known = {f"d{index:04d}" for index in range(1000)}

    def depth(first: str, last: str, path: tuple[str, ...]) -> int:
        chosen = tree.select_range(known, first, last, path)
        branches = tree.split_range(chosen, first, last)
        assert len(branches) <= tree.FANOUT
        return max(
            (
                1 + depth(b.first, b.last, (*path, b.names[0]))
                for b in branches
            ),
            default=0,
        )

    assert depth("", "", ("d0000",)) == 3


def test_the_lowest_that_answered_counts() -> None:
    answers = [
        messages.Applied("x", 7, 2, 0),
        messages.Applied("x", 0, 0, 3),
        messages.Applied("x", 5, 1, 0, lost=1),
    ]
    assert tree.aggregate("x", answers) == messages.Applied("x", 5, 3, 3, 1)


def test_what_an_answer_leaves_out_is_unreached() -> None:
    answer = messages.Applied("x", 7, 2, 1)
    assert tree.add_unaccounted(answer, 5).unreached == 3
    assert tree.add_unaccounted(answer, 3) == answer


def survey(*members: membership.Member, remembered=(), dead_s=None):
    return {
        domain.name: (sorted(domain.reachable), domain.missing, domain.lost)
        for domain in tree.group_by_domain(members, remembered, dead_s or {})
    }


def test_the_dead_count_for_a_while() -> None:
    members = [make_member("a", "x"), make_member("b", "x", Health.DEAD)]
    assert survey(*members, dead_s={"b": 1.0}) == {"x": (["a"], 1, 0)}
    assert survey(*members, dead_s={"b": 99.0}) == {"x": (["a"], 0, 1)}


def test_a_domain_out_of_reach_stays_missing() -> None:
    dead = make_member("b", "x", Health.DEAD)
    assert survey(dead, dead_s={"b": 9e9}) == {"x": ([], 1, 0)}
    assert survey(remembered=["x"]) == {"x": ([], 1, 0)}


def test_who_left_or_was_replaced_is_not_missed() -> None:
    left = make_member("b", "x", Health.LEFT)
    assert survey(left, remembered=["x"]) == {}
    old = make_member("b", "x", Health.DEAD, port=7)
    new = make_member("c", "x", port=7)
    assert survey(old, new) == {"x": (["c"], 0, 0)}


applied = strategies.builds(
    messages.Applied,
    strategies.sampled_from("xyz"),
    strategies.integers(0, 3),
    strategies.integers(0, 2),
    strategies.integers(0, 2),
    strategies.integers(0, 2),
)


@settings(derandomize=True)
@given(strategies.integers(1, 3), strategies.lists(applied, max_size=4))
def test_a_status_never_claims_too_much(
    generation: int, domains: list[messages.Applied]
) -> None:
    accepted, everywhere = tree.evaluate_status(generation, domains).conditions
    assert accepted.status
    truth = bool(domains) and all(
        domain.daemons
        and not domain.unreached
        and domain.revision >= generation
        for domain in domains
    )
    assert everywhere.status == truth
    if truth and any(domain.lost for domain in domains):
        assert everywhere.reason == "AllReachable"
