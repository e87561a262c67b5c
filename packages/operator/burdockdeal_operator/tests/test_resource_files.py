"""Loading and validation of resource files."""

import pathlib

import pytest

from burdockdeal.core import errors
from burdockdeal_operator import resource_files


def write_file(folder: pathlib.Path, text: str) -> str:
    path = folder / "resources.json5"
    path.write_text(text, encoding="utf-8")
    return str(path)


def test_rules_are_declared_last(tmp_path: pathlib.Path) -> None:
    path = write_file(
        tmp_path,
        """[  // a comment
        {kind: "Rule", name: "all", spec: {service: "a", rank: "b"}},
        {kind: "Rank", name: "b",
         spec: {urgency: 0, worth: 1, target_ms: 5}},
        {kind: "Service", name: "a", spec: {}},
        ]""",
    )
    declared = [item.kind for item in resource_files.load(path)]
    assert declared == ["Service", "Rank", "Rule"]


def test_each_violation_names_its_field(tmp_path: pathlib.Path) -> None:
    path = write_file(
        tmp_path,
        """[
        {kind: "Rank", name: "b",
         spec: {urgency: -1, worth: 1, target: 5}},
        {kind: "Rakn", name: "c", spec: {}},
        {kind: "Service", nme: "a", spec: {}},
        ]""",
    )
    with pytest.raises(errors.ResourceError) as caught:
        resource_files.load(path)
    fields = sorted(violation.field for violation in caught.value.faults)
    assert fields == [
        "[0].spec.target",
        "[0].spec.target_ms",
        "[0].spec.urgency",
        "[1].kind",
        "[2].name",
        "[2].nme",
    ]


@pytest.mark.parametrize("text", ["{", "", "[1]"])
def test_a_file_without_a_resource_is_invalid(
    tmp_path: pathlib.Path, text: str
) -> None:
    with pytest.raises(errors.ResourceError):
        resource_files.load(write_file(tmp_path, text))
