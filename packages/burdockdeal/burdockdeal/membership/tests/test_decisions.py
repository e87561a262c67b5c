"""Tests of merging records, refutation, suspicion and contacts."""

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
def test_merge_result_does_not_depend_on_order(
    received: list[messages.Member],
) -> None:
    results = set()
    for order in itertools.permutations(received):
        known = None
        for record in order * 2:
            known = decisions.merge(known, record)
        results.add(known)
    assert len(results) == 1


@hypothesis.settings(derandomize=True)
@hypothesis.given(records, records)
def test_precedence_never_decreases(
    known: messages.Member, received: messages.Member
) -> None:
    current = decisions.merge(known, received)
    assert decisions.get_precedence(current) >= decisions.get_precedence(known)
    claimed = decisions.apply_claim(known, decisions.make_claim(received))
    assert decisions.get_precedence(claimed) >= decisions.get_precedence(known)


def test_claim_about_older_record_is_ignored() -> None:
    claim = messages.Claim("d1", 5, 0, Health.DEAD)
    newer = dataclasses.replace(OWN, serial=1)
    assert decisions.apply_claim(newer, claim) is newer


@hypothesis.settings(derandomize=True)
@hypothesis.given(records, strategies.booleans())
def test_daemon_refutes_reports_about_itself(
    received: messages.Member, has_joined: bool
) -> None:
    own = dataclasses.replace(OWN, incarnation=2)
    update = decisions.refute(own, received, has_joined=has_joined)
    assert update.own.health is Health.ALIVE
    assert decisions.get_precedence(update.own) >= decisions.get_precedence(
        own
    )
    if not update.superseded:
        assert decisions.merge(received, update.own) == update.own


def test_daemon_is_superseded_by_successor_only_after_joining() -> None:
    successor = dataclasses.replace(OWN, incarnation=6)
    assert decisions.refute(OWN, successor, has_joined=True).superseded
    before_joining = decisions.refute(OWN, successor, has_joined=False)
    assert not before_joining.superseded
    assert before_joining.own.incarnation == 7


def test_domain_with_most_daemons_suspected_is_partitioned() -> None:
    assert decisions.is_partitioned(suspects=3, members=4)
    assert not decisions.is_partitioned(suspects=2, members=4)
    assert not decisions.is_partitioned(suspects=1, members=1)


def test_suspicion_timeout_grows_logarithmically() -> None:
    assert decisions.compute_suspicion_timeout_s(1.0, 3.0, 2) == 3.0
    assert 14 < decisions.compute_suspicion_timeout_s(1.0, 3.0, 23_000) < 15


def test_new_contact_replaces_oldest() -> None:
    listed = messages.Contacts(())
    for number in range(5):
        contact = messages.Contact(f"d{number}", model.Address("::1", number))
        listed = decisions.add_contact(listed, contact)
    assert [contact.daemon for contact in listed.contacts] == [
        "d4",
        "d3",
        "d2",
    ]
