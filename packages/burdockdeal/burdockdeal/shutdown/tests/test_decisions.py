"""Tests of the state transitions of a daemon's shutdown."""

import hypothesis
from hypothesis import strategies

from burdockdeal.shutdown import decisions
from burdockdeal.shutdown import messages
from burdockdeal.shutdown import state

TIMEOUTS = state.Timeouts(linger_s=1.0, stop_s=5.0)


def test_a_request_during_a_stop_ends_before_the_stop_does() -> None:
    """Guards against requests that are taken late and cut off."""
    running, leaving = (
        state.Shutdown(),
        state.Shutdown(state.Phase.LEAVING, 100.0),
    )
    for deadline in (101.0, 107.0):
        limited = decisions.limit_deadline(running, TIMEOUTS, deadline)
        assert limited == deadline
    assert decisions.limit_deadline(leaving, TIMEOUTS, 101.0) == 101.0
    latest = decisions.limit_deadline(leaving, TIMEOUTS, 107.0)
    assert latest == 105.0 - decisions.RESPONSE_S


SCENARIOS = {
    "idle daemon": [(0, "TERM"), (0.5, 0), (1, 0), (1.1, 0)],
    "upload in flight": [
        (0, "TERM"),
        (1, 1),
        (2, 1),
        (3, 1),
        (3.1, 0),
    ],
    "second signal": [(0, "TERM"), (1, 1), (1.5, "TERM"), (1.6, 1)],
    "work that never completes": [(0, "TERM"), (1, 1), (4.9, 1), (5, 1)],
    "no shutdown request": [(0, 3), (9, 0)],
    "failure": [(0, "FAIL"), (0.5, 1), (1, 1), (2, 1), (2.1, 0)],
    "failure, then a signal": [
        (0, "FAIL"),
        (0.5, "TERM"),
        (1, 1),
        (1.5, "FAIL"),
        (2, "TERM"),
    ],
    "failure during a stop": [(0, "TERM"), (0.5, "FAIL"), (1, 1), (1.1, 0)],
}


def make_event(step_input: object) -> decisions.Event:
    if step_input == "TERM":
        return messages.StopRequested()
    if step_input == "FAIL":
        return messages.Failed("part: error", "file:1")
    return messages.Tick(int(str(step_input)))


def test_golden_scenarios(snapshot) -> None:
    lines = []
    for name, events in SCENARIOS.items():
        lines.append(name)
        shutdown = state.Shutdown()
        for now, step_input in events:
            shutdown = decisions.step(
                shutdown, make_event(step_input), TIMEOUTS, now
            )
            failed = ", failed" if shutdown.has_failed else ""
            lines.append(
                f"  {now:4} {step_input!s:5} -> {shutdown.phase}{failed}"
            )
    assert "\n".join(lines) == snapshot


@hypothesis.settings(derandomize=True)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.floats(0, 2),
            strategies.one_of(
                strategies.sampled_from(["TERM", "FAIL"]),
                strategies.integers(0, 2),
            ),
        )
    )
)
def test_work_is_aborted_only_on_timeout_or_second_request(events) -> None:
    shutdown, now, request_count = state.Shutdown(), 0.0, 0
    has_failed = False
    for delay_s, step_input in events:
        now += delay_s
        previous = shutdown
        shutdown = decisions.step(
            shutdown, make_event(step_input), TIMEOUTS, now
        )
        request_count += step_input == "TERM"
        # A failure is remembered until the exit, unless that has begun.
        has_failed |= step_input == "FAIL" and (
            shutdown.phase not in (state.Phase.ENDED, state.Phase.CUT)
        )
        assert shutdown.has_failed is has_failed
        if (
            shutdown.phase is state.Phase.ENDED
            and previous.phase is not shutdown.phase
        ):
            assert step_input == 0
        if shutdown.phase is state.Phase.CUT:
            assert (
                request_count > 1
                or now - shutdown.requested_at >= TIMEOUTS.stop_s
            )
    is_running = shutdown.phase is state.Phase.RUNNING
    assert request_count or has_failed or is_running
