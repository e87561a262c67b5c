"""One workspace's requests pile up at an entry short of processor time."""

from burdockdeal.overload import decisions


def test_a_calm_entry_admits_any_workspace() -> None:
    assert decisions.has_fair_share({"hot": 60}, "hot", 100.0)


def test_a_contended_entry_gives_equal_parts() -> None:
    in_progress = {"hot": 70, "quiet": 4}
    assert not decisions.has_fair_share(in_progress, "hot", 100.0)
    assert decisions.has_fair_share(in_progress, "quiet", 100.0)
    assert decisions.has_fair_share(in_progress, "new", 100.0)


def test_each_workspace_may_have_one_request() -> None:
    in_progress = {f"w-{number}": 1 for number in range(200)}
    assert decisions.has_fair_share(in_progress, "new", 16.0)
    assert not decisions.has_fair_share(in_progress, "w-1", 16.0)


def test_a_workspace_alone_may_use_all() -> None:
    assert decisions.has_fair_share({"only": 99}, "only", 100.0)
    assert not decisions.has_fair_share({"only": 100}, "only", 100.0)
