"""A daemon that can't reach the store while a key is withdrawn."""

from burdockdeal.configuration import confirmation
from burdockdeal.settings import fleet_terms
from burdockdeal_standins import clocks

_CLOSED = fleet_terms.KeyTerms(fail_closed=True, revoke_s=5.0)


def test_keys_are_refused_once_no_read_is_recent() -> None:
    clock = clocks.Clock()
    confirmed = confirmation.Confirmation(_CLOSED, clock)
    assert not confirmed.is_recent()
    record = confirmed.begin()
    clock.now += 2.0
    record()
    clock.now += 3.0
    assert confirmed.is_recent()
    # The read began 5 s ago; what came after that may be unknown.
    clock.now += 0.1
    assert not confirmed.is_recent()


def test_an_older_read_does_not_undo_a_newer_one() -> None:
    clock = clocks.Clock()
    confirmed = confirmation.Confirmation(_CLOSED, clock)
    old = confirmed.begin()
    clock.now += 4.0
    confirmed.begin()()
    old()
    clock.now += 4.0
    assert confirmed.is_recent()


def test_a_daemon_that_does_not_fail_closed_makes_no_reads() -> None:
    terms = fleet_terms.DEFAULT_KEY_TERMS
    assert confirmation.Confirmation(terms, clocks.Clock()).is_recent()
    assert confirmation.choose_interval_s(terms) is None
    assert confirmation.choose_interval_s(_CLOSED) < _CLOSED.revoke_s / 3
