"""Tests of the tree by which the configuration propagates."""

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


def walk(
    known: set[str], first: str, last: str, path: tuple[str, ...], own: str
) -> list[str]:
    """Return the daemons reached if all have the same view."""
    path = (*path, own)
    reached = [own]
    selected = tree.select_range(known, first, last, path)
    for branch in tree.split_range(selected, first, last, fanout=3):
        head = branch.names[-1]
        reached += walk(known, branch.first, branch.last, path, head)
    return reached


@settings(derandomize=True)
@given(names, strategies.data())
def test_every_daemon_is_reached_once(known: set[str], data) -> None:
    known |= {"a"}
    root = data.draw(strategies.sampled_from(sorted(known)))
    assert sorted(walk(known, "", "", (), root)) == sorted(known)


@settings(derandomize=True)
@given(names, strategies.text("abc", max_size=4), strategies.integers(1, 12))
def test_branches_never_overlap(
    known: set[str], name: str, fanout: int
) -> None:
    branches = tree.split_range(tuple(sorted(known)), "", "", fanout=fanout)
    containing = [
        branch
        for branch in branches
        if branch.first <= name and (not branch.last or name < branch.last)
    ]
    assert len(containing) == (1 if known else 0)
    assert len(branches) <= fanout


def test_tree_of_a_thousand_daemons_has_depth_three() -> None:
    known = {f"d{index:04d}" for index in range(1000)}

    def depth(first: str, last: str, path: tuple[str, ...]) -> int:
        selected = tree.select_range(known, first, last, path)
        branches = tree.split_range(selected, first, last)
        assert len(branches) <= tree.FANOUT
        return max(
            (
                1 + depth(b.first, b.last, (*path, b.names[0]))
                for b in branches
            ),
            default=0,
        )

    assert depth("", "", ("d0000",)) == 3


def test_aggregate_takes_lowest_answered_revision() -> None:
    answers = [
        messages.Applied("x", 7, 2, 0),
        messages.Applied("x", 0, 0, 3),
        messages.Applied("x", 5, 1, 0, lost=1),
    ]
    assert tree.aggregate("x", answers) == messages.Applied("x", 5, 3, 3, 1)


def test_unaccounted_daemons_are_unreached() -> None:
    answer = messages.Applied("x", 7, 2, 1)
    assert tree.add_unaccounted(answer, 5).unreached == 3
    assert tree.add_unaccounted(answer, 3) == answer


def group(*members: membership.Member, remembered=(), dead_s=None):
    return {
        domain.name: (sorted(domain.reachable), domain.missing, domain.lost)
        for domain in tree.group_by_domain(members, remembered, dead_s or {})
    }


def test_dead_daemon_is_missing_during_grace_period() -> None:
    members = [make_member("a", "x"), make_member("b", "x", Health.DEAD)]
    assert group(*members, dead_s={"b": 1.0}) == {"x": (["a"], 1, 0)}
    assert group(*members, dead_s={"b": 99.0}) == {"x": (["a"], 0, 1)}


def test_unreachable_domain_stays_missing() -> None:
    dead = make_member("b", "x", Health.DEAD)
    assert group(dead, dead_s={"b": 9e9}) == {"x": ([], 1, 0)}
    assert group(remembered=["x"]) == {"x": ([], 1, 0)}


def test_left_or_replaced_daemon_is_not_missing() -> None:
    left = make_member("b", "x", Health.LEFT)
    assert group(left, remembered=["x"]) == {}
    replaced = make_member("b", "x", Health.DEAD, port=7)
    successor = make_member("c", "x", port=7)
    assert group(replaced, successor) == {"x": (["c"], 0, 0)}


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
def test_in_force_everywhere_requires_all_domains(
    generation: int, domains: list[messages.Applied]
) -> None:
    accepted, everywhere = tree.evaluate_status(generation, domains).conditions
    assert accepted.status
    expected = bool(domains) and all(
        domain.daemons
        and not domain.unreached
        and domain.revision >= generation
        for domain in domains
    )
    assert everywhere.status == expected
    if expected and any(domain.lost for domain in domains):
        assert everywhere.reason == "AllReachable"
