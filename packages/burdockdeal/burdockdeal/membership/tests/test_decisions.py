"""Whose record stands, and what a daemon makes of talk about itself."""

import dataclasses
import itertools

import hypothesis
from hypothesis import strategies

from burdockdeal.membership import decisions
from burdockdeal.membership import messages
from burdockdeal.settings import model

Health = messages.Health

OWN = messages.Member(
    daemon="d1",
    failure_domain="shotton",
    region="deeside",
    peer=model.Address("127.0.0.1", 1),
    incarnation=5,
)

records = strategies.builds(
    lambda incarnation, serial, health: dataclasses.replace(
        OWN, incarnation=incarnation, serial=serial, health=health
    ),
    strategies.integers(1, 4),
    strategies.integers(0, 3),
    strategies.sampled_from(Health),
)


@hypothesis.settings(derandomize=True)
@hypothesis.given(strategies.lists(records, min_size=1, max_size=4))
def test_all_orders_of_hearing_meet(heard: list[messages.Member]) -> None:
    ends = set()
    for order in itertools.permutations(heard):
        known = None
        for record in order * 2:
            known = decisions.merge(known, record)
        ends.add(known)
    assert len(ends) == 1


@hypothesis.settings(derandomize=True)
@hypothesis.given(records, records)
def test_what_stands_never_goes_back(
    known: messages.Member, heard: messages.Member
) -> None:
    stands = decisions.merge(known, heard)
    assert decisions.precedence(stands) >= decisions.precedence(known)
    claimed = decisions.weigh_claim(known, decisions.make_claim(heard))
    assert decisions.precedence(claimed) >= decisions.precedence(known)


def test_a_claim_on_an_older_record_changes_nothing() -> None:
    claim = messages.Claim("d1", 5, 0, Health.DEAD)
    newer = dataclasses.replace(OWN, serial=1)
    assert decisions.weigh_claim(newer, claim) is newer


@hypothesis.settings(derandomize=True)
@hypothesis.given(records, strategies.booleans())
def test_a_daemon_outlives_what_is_said_of_it(
    heard: messages.Member, joined: bool
) -> None:
    own = dataclasses.replace(OWN, incarnation=2)
    answer = decisions.defend(own, heard, joined=joined)
    assert answer.own.health is Health.ALIVE
    assert decisions.precedence(answer.own) >= decisions.precedence(own)
    if not answer.superseded:
        assert decisions.merge(heard, answer.own) == answer.own


def test_a_successor_is_given_way_to() -> None:
    successor = dataclasses.replace(OWN, incarnation=6)
    assert decisions.defend(OWN, successor, joined=True).superseded
    earlier_life = decisions.defend(OWN, successor, joined=False)
    assert not earlier_life.superseded
    assert earlier_life.own.incarnation == 7


def test_a_domain_with_most_daemons_silent_is_cut() -> None:
    assert decisions.is_cut(suspects=3, members=4)
    assert not decisions.is_cut(suspects=2, members=4)
    assert not decisions.is_cut(suspects=1, members=1)


def test_suspicion_grows_with_the_logarithm() -> None:
    assert decisions.suspicion_s(1.0, 3.0, 2) == 3.0
    assert 14 < decisions.suspicion_s(1.0, 3.0, 23_000) < 15


def test_the_newest_contact_is_first_and_the_oldest_goes() -> None:
    listed = messages.Contacts(())
    for number in range(5):
        contact = messages.Contact(f"d{number}", model.Address("::1", number))
        listed = decisions.add_contact(listed, contact)
    assert [contact.daemon for contact in listed.contacts] == [
        "d4",
        "d3",
        "d2",
    ]
