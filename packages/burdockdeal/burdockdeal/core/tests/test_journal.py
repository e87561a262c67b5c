"""Events as lines of pairs."""

from burdockdeal.core import journal


def test_one_line_whatever_the_values() -> None:
    line = journal.format_event("a", plain="x", spaced="a b", cut="a\nb")
    assert line == 'event=a plain=x spaced="a b" cut="a\\nb"'


def test_none_is_left_out() -> None:
    assert journal.format_event("a", b=None, c=0) == "event=a c=0"


def test_a_value_can_not_pose_as_another_pair() -> None:
    assert journal.format_event("a", b="c=d") == 'event=a b="c=d"'
    assert journal.format_event("a", b="") == 'event=a b=""'
