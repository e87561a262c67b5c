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
