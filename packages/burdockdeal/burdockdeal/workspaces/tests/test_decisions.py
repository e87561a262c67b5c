"""Which workspace a request belongs to, and whether it may run."""

import pytest

from burdockdeal.configuration import resources
from burdockdeal.core import errors
from burdockdeal.core import verdict
from burdockdeal.workspaces import decisions
from burdockdeal.workspaces import state


def index(**keys: tuple[str, ...]) -> state.WorkspaceIndex:
    return decisions.index_workspaces(
        {
            name: resources.Workspace(
                key_digests=tuple(map(decisions.compute_digest, own_keys))
            )
            for name, own_keys in keys.items()
        }
    )


def test_each_key_of_a_workspace_identifies_it() -> None:
    known = index(first=("a", "b"), second=("c",))
    found = [
        decisions.identify(known, key, allow_anonymous=False).workspace
        for key in ("a", "b", "c")
    ]
    assert found == ["first", "first", "second"]


@pytest.mark.parametrize("key", [None, "", "d", "A", "a" * 100_000, "\udcff"])
def test_a_request_without_a_known_key_is_refused(key: str | None) -> None:
    with pytest.raises(errors.NotRunError) as raised:
        decisions.identify(index(first=("a",)), key, allow_anonymous=False)
    assert raised.value.reason is verdict.Reason.KEY_REFUSED
    assert (key or "no key")[:9] not in str(raised.value).replace("no key", "")


def test_without_workspaces_no_request_needs_a_key() -> None:
    """Deployments that have no workspaces are served as before."""
    identity = decisions.identify(index(), "a", allow_anonymous=False)
    assert identity is state.ANONYMOUS


@pytest.mark.parametrize(("key", "expected"), [("a", "first"), ("d", "")])
def test_an_anonymous_rule_admits_any_key(key: str, expected: str) -> None:
    identity = decisions.identify(
        index(first=("a",)), key, allow_anonymous=True
    )
    assert identity.workspace == expected


def test_a_withdrawn_key_ends_the_wait_of_a_call() -> None:
    identity = decisions.identify(
        index(first=("a", "b")), "a", allow_anonymous=False
    )
    arguments = (identity.workspace, identity.key_id)
    kept, withdrawn = index(first=("a",)), index(first=("b",))
    moved = index(first=("b",), second=("a",))
    assert not decisions.is_key_withdrawn(kept, *arguments)
    assert decisions.is_key_withdrawn(withdrawn, *arguments)
    assert decisions.is_key_withdrawn(moved, *arguments)
    assert not decisions.is_key_withdrawn(withdrawn, "", "")


def test_a_shared_key_is_reported_without_disclosing_it() -> None:
    digest = decisions.compute_digest("secret")
    faults = decisions.find_shared_keys(
        {
            "first": resources.Workspace((digest,)),
            "second": resources.Workspace(("0" * 64, digest)),
        }
    )
    assert [str(fault) for fault in faults] == [
        "second.key_digests[1]: Workspace/first has the same key"
    ]


@pytest.mark.parametrize(
    ("first", "second", "expected"),
    [
        ((), (), frozenset()),
        (("a",), (), frozenset("a")),
        ((), ("b", "c"), frozenset("bc")),
        (("a", "b"), ("b", "c"), frozenset("b")),
        (("a",), ("b",), None),
    ],
)
def test_regions_of_rule_and_workspace_both_bind(
    first: tuple[str, ...],
    second: tuple[str, ...],
    expected: frozenset[str] | None,
) -> None:
    assert decisions.combine_regions(first, second) == expected
