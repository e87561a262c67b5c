"""Snapshot tests: how one instance is ejected and readmitted over time."""

import syrupy

from burdockdeal_standins import simulation


def run_and_record(model: simulation.Simulation, until_s: float) -> list[str]:
    """Run a simulation and return a line for each change of health."""
    lines: list[str] = []
    before: dict[str, str] = {}

    def record_changes() -> None:
        tracker = model.entries[0].tracker
        for member in model.members:
            view = tracker.view(member)
            health = view.health
            text = (
                f"{member.daemon} slow={health.consecutive_slow}"
                f" failures={health.consecutive_failures}"
                f" ejections={health.ejections}"
                f" limit={health.readmission_limit}"
            )
            if before.setdefault(member.daemon, text) != text:
                at_s = model.now - simulation.START_S
                lines.append(f"{at_s:.2f} {text} in-flight={view.outstanding}")
            before[member.daemon] = text
        if model.now < simulation.START_S + until_s:
            model.schedule(0.01, record_changes)

    record_changes()
    outcomes = model.run()
    counts = [0] * len(model.members)
    for outcome in outcomes:
        counts[outcome.instance] += 1
    return [*lines, f"responses {counts}"]


def test_slow_instance(snapshot: syrupy.assertion.SnapshotAssertion) -> None:
    fault = simulation.Fault(0.5, 2.0, 0, service_ms=200.0)
    model = simulation.Simulation(
        simulation.Parameters(
            entries=1, calls_per_s=300, seconds=6.0, fault=fault
        ),
        "hot_cold",
        1,
    )
    assert run_and_record(model, 6.0) == snapshot


def test_instance_that_fails_fast(
    snapshot: syrupy.assertion.SnapshotAssertion,
) -> None:
    fault = simulation.Fault(0.5, 2.0, 0, service_ms=0.2, status=503)
    model = simulation.Simulation(
        simulation.Parameters(
            entries=1, calls_per_s=300, seconds=6.0, fault=fault
        ),
        "hot_cold",
        1,
    )
    assert run_and_record(model, 6.0) == snapshot
