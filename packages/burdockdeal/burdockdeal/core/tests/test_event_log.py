"""Events as lines of pairs."""

from burdockdeal.core import event_log


def test_one_line_whatever_the_values() -> None:
    line = event_log.format_event("a", plain="x", spaced="a b", cut="a\nb")
    assert line == 'event=a plain=x spaced="a b" cut="a\\nb"'


def test_none_is_left_out() -> None:
    assert event_log.format_event("a", b=None, c=0) == "event=a c=0"


def test_a_value_can_not_pose_as_another_pair() -> None:
    assert event_log.format_event("a", b="c=d") == 'event=a b="c=d"'
    assert event_log.format_event("a", b="") == 'event=a b=""'
