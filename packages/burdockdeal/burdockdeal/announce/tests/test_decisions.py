"""Tests of the local upstream's lifecycle as its daemon tracks it."""

import hypothesis
from hypothesis import strategies

from burdockdeal.announce import decisions
from burdockdeal.announce import messages
from burdockdeal.announce import state


def make_announce(
    incarnation: int, warm_up_s: float = 0.0
) -> messages.Announce:
    return messages.Announce(
        "bookings", "127.0.0.1", 80, incarnation, warm_up_s=warm_up_s
    )


def make_serving(now: float = 10.0, incarnation: int = 1) -> state.Upstream:
    upstream = decisions.step(
        state.Upstream(), make_announce(incarnation), now
    )
    heartbeat = messages.Heartbeat(incarnation, now)
    return decisions.step(upstream, heartbeat, now)


def test_announce_without_heartbeat_allows_no_calls() -> None:
    upstream = decisions.step(state.Upstream(), make_announce(1), 10.0)
    assert not decisions.may_start_call(upstream, 10.0)
    assert decisions.may_start_call(make_serving(), 10.0)


def test_buffered_heartbeat_does_not_renew_lease() -> None:
    upstream = make_serving(10.0)
    # The daemon resumes from a pause of a minute and reads a heartbeat that
    # arrived before it.
    resumed = decisions.step(upstream, messages.Heartbeat(1, 10.0), 70.0)
    assert not decisions.may_start_call(resumed, 70.0)
    renewed = decisions.step(resumed, messages.Heartbeat(1, 70.0), 70.0)
    assert decisions.may_start_call(renewed, 70.0)


def test_drain_lasts_until_next_incarnation() -> None:
    upstream = decisions.step(make_serving(), messages.Drain(1), 10.1)
    for event in (
        messages.Heartbeat(1, 10.2),
        make_announce(1),
        decisions.Tick(),
    ):
        upstream = decisions.step(upstream, event, 60.0)
        assert upstream.phase is state.Phase.DRAINING
    restarted = decisions.step(upstream, make_announce(2), 60.0)
    restarted = decisions.step(restarted, messages.Heartbeat(2, 60.0), 60.0)
    assert decisions.may_start_call(restarted, 60.0)


def test_draining_heartbeat_replaces_lost_drain() -> None:
    heartbeat = messages.Heartbeat(1, 10.0, draining=True)
    upstream = decisions.step(make_serving(), heartbeat, 10.5)
    assert not decisions.may_start_call(upstream, 10.5)


def test_unreachable_upstream_gets_no_calls_during_backoff() -> None:
    upstream = decisions.step(make_serving(), decisions.Unreachable(), 10.0)
    assert not decisions.may_start_call(upstream, 10.0)
    assert decisions.may_start_call(
        upstream, 10.0 + decisions.UNREACHABLE_BACKOFF_S
    )


def test_messages_of_older_incarnation_are_ignored() -> None:
    upstream = make_serving(incarnation=2)
    for event in (
        make_announce(1),
        messages.Heartbeat(1, 11.0, draining=True),
        messages.Drain(1),
    ):
        assert decisions.step(upstream, event, 11.0) == upstream


def test_warm_up_share_grows_linearly() -> None:
    upstream = decisions.step(state.Upstream(), make_announce(1, 10.0), 100.0)
    shares = [
        decisions.compute_warm_up_share(upstream, 100.0 + elapsed_s)
        for elapsed_s in (0, 5, 10, 20)
    ]
    assert shares == [0.1, 0.5, 1.0, 1.0]


EVENTS = strategies.one_of(
    strategies.builds(make_announce, strategies.integers(1, 3)),
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
def test_no_call_starts_without_recent_heartbeat(events) -> None:
    upstream, now, newest_echo, drained = state.Upstream(), 10.0, 0.0, set()
    for delay_s, event in events:
        now += delay_s
        previous = upstream.incarnation
        upstream = decisions.step(upstream, event, now)
        assert upstream.incarnation >= previous
        if upstream.incarnation != previous:
            newest_echo = 0.0
        if getattr(event, "incarnation", 0) == upstream.incarnation:
            if isinstance(event, messages.Heartbeat):
                newest_echo = max(newest_echo, event.echo)
            if isinstance(event, messages.Drain) or getattr(
                event, "draining", False
            ):
                drained.add(upstream.incarnation)
        if decisions.may_start_call(upstream, now):
            assert now - newest_echo <= upstream.announce.lease_s
            assert upstream.incarnation not in drained
