"""A golden session: one instance slows down, lies low and comes back."""

import syrupy

from burdockdeal_standins import play


def write_down(stage: play.Stage, until_s: float) -> list[str]:
    """Run a play, and write a line whenever a health changes."""
    lines: list[str] = []
    before: dict[str, str] = {}

    def look() -> None:
        tracker = stage.entries[0].tracker
        for member in stage.members:
            shown = tracker.view(member)
            health = shown.health
            text = (
                f"{member.daemon} lags={health.lags} streak={health.streak}"
                f" ejections={health.ejections} allowance={health.allowance}"
            )
            if before.setdefault(member.daemon, text) != text:
                at_s = stage.now - play.START_S
                lines.append(f"{at_s:.2f} {text} in-flight={shown.sent}")
            before[member.daemon] = text
        if stage.now < play.START_S + until_s:
            stage.after(0.01, look)

    look()
    outcomes = stage.run()
    counts = [0] * len(stage.members)
    for outcome in outcomes:
        counts[outcome.instance] += 1
    return [*lines, f"answers {counts}"]


def test_slowdown(snapshot: syrupy.assertion.SnapshotAssertion) -> None:
    fault = play.Fault(0.5, 2.0, 0, service_ms=200.0)
    stage = play.Stage(
        play.Play(entries=1, calls_per_s=300, seconds=6.0, fault=fault),
        "hot_cold",
        1,
    )
    assert write_down(stage, 6.0) == snapshot


def test_failing_fast(snapshot: syrupy.assertion.SnapshotAssertion) -> None:
    fault = play.Fault(0.5, 2.0, 0, service_ms=0.2, status=503)
    stage = play.Stage(
        play.Play(entries=1, calls_per_s=300, seconds=6.0, fault=fault),
        "hot_cold",
        1,
    )
    assert write_down(stage, 6.0) == snapshot
