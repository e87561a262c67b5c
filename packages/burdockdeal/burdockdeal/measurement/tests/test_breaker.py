"""An upstream that breaks its connections, and its owner's breaker."""

import pytest

from burdockdeal.core import errors
from burdockdeal.core import verdict
from burdockdeal.measurement import breaker
from burdockdeal_standins import clocks


def break_once(
    circuit: breaker.CircuitBreaker,
    reason: verdict.Reason = verdict.Reason.BROKEN_CONNECTION,
) -> None:
    with pytest.raises(errors.LostResponseError), circuit.track_call():
        raise errors.LostResponseError(reason)


def answer_once(circuit: breaker.CircuitBreaker) -> None:
    with circuit.track_call() as note_answer:
        note_answer()


def test_it_opens_after_some_broken_connections_in_a_row() -> None:
    clock = clocks.Clock()
    circuit = breaker.CircuitBreaker(clock)
    for _ in range(breaker.BROKEN_TO_OPEN - 1):
        break_once(circuit)
    answer_once(circuit)
    for _ in range(breaker.BROKEN_TO_OPEN - 1):
        break_once(circuit)
        assert circuit.allows_call(1, idempotent=False)
    break_once(circuit)
    assert not circuit.allows_call(1, idempotent=True)


def test_one_idempotent_call_at_a_time_is_tried_after_a_pause() -> None:
    clock = clocks.Clock()
    circuit = breaker.CircuitBreaker(clock)
    for _ in range(breaker.BROKEN_TO_OPEN):
        break_once(circuit)
    clock.now += breaker.FIRST_PAUSE_S
    assert not circuit.allows_call(1, idempotent=False)
    assert circuit.allows_call(1, idempotent=True)
    with circuit.track_call() as note_answer:
        assert not circuit.allows_call(1, idempotent=True)
        note_answer()
        assert circuit.allows_call(1, idempotent=False)
    assert circuit.allows_call(1, idempotent=False)


def test_the_pauses_grow_and_are_bounded() -> None:
    clock = clocks.Clock()
    circuit = breaker.CircuitBreaker(clock)
    pauses = []
    for _ in range(breaker.BROKEN_TO_OPEN + 6):
        break_once(circuit)
        pauses.append(circuit.circuit.open_until - clock.now)
    grown = pauses[breaker.BROKEN_TO_OPEN - 1 :]
    assert grown[0] == pytest.approx(breaker.FIRST_PAUSE_S)
    assert grown == sorted(grown)
    assert grown[-1] == pytest.approx(breaker.LONGEST_PAUSE_S)


def test_an_answer_that_breaks_off_later_is_no_broken_connection() -> None:
    circuit = breaker.CircuitBreaker(clocks.Clock())
    for _ in range(2 * breaker.BROKEN_TO_OPEN):
        with (
            pytest.raises(errors.LostResponseError),
            circuit.track_call() as note_answer,
        ):
            note_answer()
            raise errors.LostResponseError(verdict.Reason.BROKEN_CONNECTION)
    assert circuit.allows_call(1, idempotent=False)


def test_calls_that_last_longer_than_their_deadline_open_nothing() -> None:
    circuit = breaker.CircuitBreaker(clocks.Clock())
    for _ in range(2 * breaker.BROKEN_TO_OPEN):
        break_once(circuit, verdict.Reason.TIMED_OUT)
    assert circuit.allows_call(1, idempotent=False)


def test_it_closes_though_no_idempotent_call_ever_comes() -> None:
    clock = clocks.Clock()
    circuit = breaker.CircuitBreaker(clock)
    for _ in range(breaker.BROKEN_TO_OPEN):
        break_once(circuit)
    clock.now += 2 * breaker.FIRST_PAUSE_S
    assert circuit.allows_call(1, idempotent=False)
    answer_once(circuit)
    assert circuit.allows_call(1, idempotent=False)


def test_a_new_upstream_is_held_to_nothing() -> None:
    circuit = breaker.CircuitBreaker(clocks.Clock())
    assert circuit.allows_call(1, idempotent=True)
    for _ in range(breaker.BROKEN_TO_OPEN):
        break_once(circuit)
    assert not circuit.allows_call(1, idempotent=True)
    assert circuit.allows_call(2, idempotent=False)
