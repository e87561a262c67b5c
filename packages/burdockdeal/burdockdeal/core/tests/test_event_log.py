"""Formatting of log events."""

from burdockdeal.core import event_log


def test_an_event_is_one_line_whatever_its_values() -> None:
    line = event_log.format_event("a", plain="x", spaced="a b", cut="a\nb")
    assert line == 'event=a plain=x spaced="a b" cut="a\\nb"'


def test_a_value_of_none_is_left_out() -> None:
    assert event_log.format_event("a", b=None, c=0) == "event=a c=0"


def test_a_value_can_not_forge_another_pair() -> None:
    assert event_log.format_event("a", b="c=d") == 'event=a b="c=d"'
    assert event_log.format_event("a", b="") == 'event=a b=""'


def test_lines_beyond_the_rate_are_dropped_and_counted() -> None:
    limiter = event_log.RateLimiter("member", 0.001, 5)
    assert [limiter.try_acquire() for _ in range(8)] == [True] * 5 + [
        False
    ] * 3
    assert limiter.dropped_total == 3
