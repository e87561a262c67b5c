"""The stop of a daemon, step by step."""

import hypothesis
from hypothesis import strategies

from burdockdeal.shutdown import decisions
from burdockdeal.shutdown import messages
from burdockdeal.shutdown import state

TERMS = state.Terms(linger_s=1.0, limit_s=5.0)
SESSIONS = {
    "an idle daemon": [(0, "TERM"), (0.5, 0), (1, 0), (1.1, 0)],
    "an upload in flight": [
        (0, "TERM"),
        (1, 1),
        (2, 1),
        (3, 1),
        (3.1, 0),
    ],
    "a second signal": [(0, "TERM"), (1, 1), (1.5, "TERM"), (1.6, 1)],
    "work without an end": [(0, "TERM"), (1, 1), (4.9, 1), (5, 1)],
    "never asked": [(0, 3), (9, 0)],
}


def tell(given: object) -> decisions.Event:
    if given == "TERM":
        return messages.Asked()
    return messages.Tick(int(str(given)))


def test_golden_sessions(snapshot) -> None:
    lines = []
    for name, events in SESSIONS.items():
        lines.append(name)
        stop = state.Stop()
        for now, given in events:
            stop = decisions.step(stop, tell(given), TERMS, now)
            lines.append(f"  {now:4} {given!s:5} -> {stop.phase}")
    assert "\n".join(lines) == snapshot


@hypothesis.settings(derandomize=True)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.floats(0, 2),
            strategies.one_of(
                strategies.just("TERM"), strategies.integers(0, 2)
            ),
        )
    )
)
def test_nothing_is_cut_without_cause(events) -> None:
    stop, now, asked = state.Stop(), 0.0, 0
    for pause, given in events:
        now += pause
        before = stop
        stop = decisions.step(stop, tell(given), TERMS, now)
        asked += given == "TERM"
        if stop.phase is state.Phase.ENDED and before.phase is not stop.phase:
            assert given == 0
        if stop.phase is state.Phase.CUT:
            assert asked > 1 or now - stop.since >= TERMS.limit_s
    assert asked or stop.phase is state.Phase.RUNNING
