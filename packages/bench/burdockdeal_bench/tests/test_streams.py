"""The table of arrivals."""

from burdockdeal_bench import streams


def test_the_table_has_a_row_for_each_path() -> None:
    arrivals = [streams.Arrivals(0.001, 0.002), streams.Arrivals(0.003, 0.004)]
    row = streams.build_report("stream", 2, arrivals)
    assert (row.framing, row.hops) == ("stream", 2)
    assert row.head.p99_ms <= row.first.p99_ms
    _, line = streams.format_table([row]).splitlines()
    assert line.split()[:2] == ["stream", "2"]
