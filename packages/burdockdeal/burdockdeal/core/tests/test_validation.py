"""Checking of raw maps, with every fault listed."""

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


def fields(raw: object) -> list[str]:
    return [fault.field for fault in validation.validate(Outer, raw)[1]]


def test_a_right_map_becomes_the_value() -> None:
    raw = {"name": "a", "inner": {"port": 1}, "several": [{"port": 2}]}
    value, faults = validation.validate(Outer, raw)
    assert not faults
    assert value == Outer("a", Inner(1), (Inner(2),))


def test_every_fault_is_listed() -> None:
    raw = {
        "name": "Not Lower",
        "inner": {"port": 0, "prot": 1},
        "several": [{"port": 1}, {}],
        "maybe": {"port": "x"},
        "typo": 1,
    }
    assert sorted(fields(raw)) == [
        "inner.port",
        "inner.prot",
        "maybe.port",
        "name",
        "several[1].port",
        "typo",
    ]


def test_what_is_no_map_is_a_fault() -> None:
    assert fields([]) == [""]
    assert fields({"name": "a", "inner": 3}) == ["inner"]
