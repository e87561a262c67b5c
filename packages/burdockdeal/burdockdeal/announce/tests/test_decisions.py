"""The upstream's life as its daemon sees it."""

import hypothesis
from hypothesis import strategies

from burdockdeal.announce import decisions
from burdockdeal.announce import messages
from burdockdeal.announce import state


def announce(incarnation: int, warm_up_s: float = 0.0) -> messages.Announce:
    return messages.Announce(
        "bookings", "127.0.0.1", 80, incarnation, warm_up_s=warm_up_s
    )


def serve(now: float = 10.0, incarnation: int = 1) -> state.Upstream:
    upstream = decisions.step(state.Upstream(), announce(incarnation), now)
    beat = messages.Heartbeat(incarnation, now)
    return decisions.step(upstream, beat, now)


def test_an_announce_alone_is_no_proof_of_life() -> None:
    upstream = decisions.step(state.Upstream(), announce(1), 10.0)
    assert not decisions.may_start_call(upstream, 10.0)
    assert decisions.may_start_call(serve(), 10.0)


def test_a_heartbeat_that_lay_in_a_buffer_renews_nothing() -> None:
    upstream = serve(10.0)
    # The daemon stood still for a minute and reads what came before.
    woken = decisions.step(upstream, messages.Heartbeat(1, 10.0), 70.0)
    assert not decisions.may_start_call(woken, 70.0)
    fresh = decisions.step(woken, messages.Heartbeat(1, 70.0), 70.0)
    assert decisions.may_start_call(fresh, 70.0)


def test_a_drain_stays() -> None:
    upstream = decisions.step(serve(), messages.Drain(1), 10.1)
    for event in (
        messages.Heartbeat(1, 10.2),
        announce(1),
        decisions.Tick(),
    ):
        upstream = decisions.step(upstream, event, 60.0)
        assert upstream.phase is state.Phase.DRAINING
    anew = decisions.step(upstream, announce(2), 60.0)
    anew = decisions.step(anew, messages.Heartbeat(2, 60.0), 60.0)
    assert decisions.may_start_call(anew, 60.0)


def test_a_lost_drain_is_in_the_next_heartbeat() -> None:
    beat = messages.Heartbeat(1, 10.0, draining=True)
    upstream = decisions.step(serve(), beat, 10.5)
    assert not decisions.may_start_call(upstream, 10.5)


def test_an_unreachable_upstream_is_barred_for_a_while() -> None:
    upstream = decisions.step(serve(), decisions.Unreachable(), 10.0)
    assert not decisions.may_start_call(upstream, 10.0)
    assert decisions.may_start_call(
        upstream, 10.0 + decisions.UNREACHABLE_BACKOFF_S
    )


def test_an_old_incarnation_changes_nothing() -> None:
    upstream = serve(incarnation=2)
    for event in (
        announce(1),
        messages.Heartbeat(1, 11.0, draining=True),
        messages.Drain(1),
    ):
        assert decisions.step(upstream, event, 11.0) == upstream


def test_a_cold_upstream_ramps() -> None:
    upstream = decisions.step(state.Upstream(), announce(1, 10.0), 100.0)
    shares = [
        decisions.compute_warm_up_share(upstream, 100.0 + s)
        for s in (0, 5, 10, 20)
    ]
    assert shares == [0.1, 0.5, 1.0, 1.0]


EVENTS = strategies.one_of(
    strategies.builds(announce, strategies.integers(1, 3)),
    strategies.builds(
        messages.Heartbeat,
        incarnation=strategies.integers(1, 3),
        echo=strategies.floats(0, 20),
        draining=strategies.booleans(),
    ),
    strategies.builds(messages.Drain, strategies.integers(1, 3)),
    strategies.just(decisions.Tick()),
    strategies.just(decisions.Unreachable()),
)


@hypothesis.settings(derandomize=True, max_examples=300)
@hypothesis.given(
    strategies.lists(strategies.tuples(strategies.floats(0, 1), EVENTS))
)
def test_no_start_without_a_fresh_heartbeat(events) -> None:
    upstream, now, newest, drained = state.Upstream(), 10.0, 0.0, set()
    for pause, event in events:
        now += pause
        before = upstream.incarnation
        upstream = decisions.step(upstream, event, now)
        assert upstream.incarnation >= before
        if upstream.incarnation != before:
            newest = 0.0
        if getattr(event, "incarnation", 0) == upstream.incarnation:
            if isinstance(event, messages.Heartbeat):
                newest = max(newest, event.echo)
            if isinstance(event, messages.Drain) or getattr(
                event, "draining", False
            ):
                drained.add(upstream.incarnation)
        if decisions.may_start_call(upstream, now):
            assert now - newest <= upstream.announce.lease_s
            assert upstream.incarnation not in drained
