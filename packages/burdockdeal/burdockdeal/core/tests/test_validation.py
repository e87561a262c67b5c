"""Validation of parsed maps against data classes."""

import dataclasses

from burdockdeal.core import validation


@dataclasses.dataclass(frozen=True, slots=True)
class Inner:
    port: validation.Port


@dataclasses.dataclass(frozen=True, slots=True)
class Outer:
    name: validation.Name
    inner: Inner
    several: tuple[Inner, ...] = ()
    maybe: Inner | None = None


def find_invalid_fields(raw: object) -> list[str]:
    return [
        violation.field for violation in validation.validate(Outer, raw)[1]
    ]


def test_a_valid_map_becomes_a_data_class() -> None:
    raw = {"name": "a", "inner": {"port": 1}, "several": [{"port": 2}]}
    value, violations = validation.validate(Outer, raw)
    assert not violations
    assert value == Outer("a", Inner(1), (Inner(2),))


def test_every_violation_is_listed() -> None:
    raw = {
        "name": "Not Lower",
        "inner": {"port": 0, "prot": 1},
        "several": [{"port": 1}, {}],
        "maybe": {"port": "x"},
        "typo": 1,
    }
    assert sorted(find_invalid_fields(raw)) == [
        "inner.port",
        "inner.prot",
        "maybe.port",
        "name",
        "several[1].port",
        "typo",
    ]


def test_a_value_that_is_not_a_map_is_a_violation() -> None:
    assert find_invalid_fields([]) == [""]
    assert find_invalid_fields({"name": "a", "inner": 3}) == ["inner"]
