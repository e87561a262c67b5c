"""Few messages between failure domains, and none that misses a daemon."""

import collections
import random

from burdockdeal.membership import messages
from burdockdeal.membership import roster
from burdockdeal.membership import targets
from burdockdeal.settings import model


def make_roster(sizes: dict[str, int]) -> roster.Roster:
    """Make the roster of the first daemon of the first domain."""
    members = [
        messages.Member(
            f"{domain}{number}",
            domain,
            "r",
            model.Address("10.0.0.1", 1000 + number),
            1,
        )
        for domain, size in sizes.items()
        for number in range(size)
    ]
    created = roster.Roster(members[0])
    created.merge_members(members[1:])
    return created


def test_most_probes_stay_in_the_failure_domain() -> None:
    order = targets.ProbeOrder(
        make_roster({"a": 39, "b": 78, "c": 78}), random.Random(1)
    )
    taken = [order.take_next() for _ in range(400)]
    domains = collections.Counter(
        member.failure_domain == "a" for member in taken
    )
    assert domains == {True: 300, False: 100}


def test_a_round_of_probes_leaves_out_no_daemon() -> None:
    order = targets.ProbeOrder(make_roster({"a": 5, "b": 3}), random.Random(1))
    taken = {order.take_next().daemon for _ in range(16)}
    assert taken == {"a1", "a2", "a3", "a4", "b0", "b1", "b2"}


def test_a_daemon_alone_in_its_domain_probes_the_others() -> None:
    order = targets.ProbeOrder(make_roster({"a": 1, "b": 2}), random.Random(1))
    assert {order.take_next().daemon for _ in range(4)} == {"b0", "b1"}


def test_a_daemon_alone_probes_nobody() -> None:
    order = targets.ProbeOrder(make_roster({"a": 1}), random.Random(1))
    assert order.take_next() is None


def test_inactive_daemons_are_not_probed() -> None:
    known = make_roster({"a": 3, "b": 1})
    order = targets.ProbeOrder(known, random.Random(1))
    order.take_next()
    known.mark_health("a1", messages.Health.DEAD)
    known.mark_health("b0", messages.Health.DEAD)
    assert {order.take_next().daemon for _ in range(6)} == {"a2"}


def test_the_messages_of_a_change_do_not_grow_with_the_fleet() -> None:
    """Each change cost a dozen messages, most of them between domains."""
    sizes = {f"d{number:02d}": 1000 for number in range(23)}
    known = make_roster(sizes)
    chosen = targets.choose_push_targets(
        known, random.Random(1), includes_remote=True
    )
    domains = collections.Counter(member.failure_domain for member in chosen)
    assert domains.pop("d00") == targets.LOCAL_PUSH_FANOUT
    assert sum(domains.values()) == targets.REMOTE_PUSH_FANOUT
    assert max(domains.values()) == 1


def test_each_domain_of_a_small_fleet_is_notified_twice() -> None:
    known = make_roster({"a": 4, "b": 4, "c": 1})
    known.mark_health("b0", messages.Health.SUSPECT)
    chosen = targets.choose_push_targets(
        known, random.Random(1), includes_remote=True
    )
    domains = collections.Counter(member.failure_domain for member in chosen)
    assert domains == {"a": 3, "b": 2, "c": 1}
    assert "b0" not in {member.daemon for member in chosen}
    local = targets.choose_push_targets(
        known, random.Random(1), includes_remote=False
    )
    assert {member.failure_domain for member in local} == {"a"}
