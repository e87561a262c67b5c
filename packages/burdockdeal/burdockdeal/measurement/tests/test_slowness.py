"""Calls don't start on a machine that is slow for a moment."""

import pytest

from burdockdeal.measurement import meter
from burdockdeal.measurement import slowness
from burdockdeal.measurement import state
from burdockdeal_standins import clocks


class Machine:
    """A machine whose upstream reports its speed."""

    def __init__(self) -> None:
        self.clock = clocks.Clock(10.0)
        self.meter = meter.Meter(self.clock)

    def report(self, slowdown: float, *, after_s: float) -> bool:
        """Report the speed; return whether calls should not start now."""
        self.clock.now += after_s
        load = state.UpstreamLoad(1, 0, 9, slowdown)
        self.meter.record_upstream_load(load)
        return self.meter.is_slow


def test_a_slow_spell_is_not_prolonged_by_the_time_between_reports() -> None:
    """Two short spells that were seen 2 s apart were taken for a long one.

    Calls then started on the slow machine.
    """
    machine = Machine()
    assert machine.report(5.0, after_s=0.0)
    assert machine.report(5.0, after_s=2.0)
    assert machine.report(5.0, after_s=2.0)


def test_a_machine_that_stays_slow_is_used() -> None:
    machine = Machine()
    seen = [machine.report(5.0, after_s=0.015) for _ in range(60)]
    assert seen[0]
    assert not seen[-1]
    assert seen.index(False) * 0.015 == pytest.approx(
        (slowness.OBSERVATIONS - 1) * slowness.MIN_INTERVAL_S, abs=0.05
    )


def test_spells_of_a_machine_that_stays_slow_are_seen() -> None:
    """A machine at a third of its speed slows down further at times."""
    machine = Machine()
    for _ in range(slowness.OBSERVATIONS):
        machine.report(3.1, after_s=0.12)
    assert not machine.report(3.1, after_s=0.12)
    assert machine.report(15.5, after_s=0.12)
    assert not machine.report(3.1, after_s=0.12)


def test_a_machine_that_has_recovered_is_expected_to_be_quick() -> None:
    machine = Machine()
    for _ in range(slowness.OBSERVATIONS):
        machine.report(5.0, after_s=0.12)
    assert not machine.report(1.0, after_s=0.12)
    assert machine.report(5.0, after_s=0.12)


def test_an_old_report_says_nothing() -> None:
    machine = Machine()
    assert machine.report(5.0, after_s=0.0)
    machine.clock.now += 0.2
    assert not machine.meter.is_slow


def test_a_slow_machine_that_is_rarely_called_is_used() -> None:
    """Each call waits for a moment, sees a slow machine, and is refused."""
    machine = Machine()
    refused = 0
    for _ in range(10):
        machine.clock.now += 20.0
        seen = [machine.report(5.0, after_s=0.015) for _ in range(20)]
        refused += all(seen)
    assert refused <= 1
