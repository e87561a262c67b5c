"""Limits that depend on each other."""

import dataclasses

import pytest

from burdockdeal.settings import model


def find_faults(**limits: float) -> list[str]:
    listen = model.Listen(
        *(model.Address("127.0.0.1", port) for port in range(1, 5))
    )
    settings = model.Settings(
        daemon="d1",
        failure_domain="here",
        listen=listen,
        store=model.Address("127.0.0.1", 5),
        peer_token="a-token-of-the-fleet",
        operators=(model.Operator("me", "a-token-of-my-own"),),
        limits=dataclasses.replace(model.Limits(), **limits),
    )
    return [str(fault) for fault in model.find_faults(settings)]


@pytest.mark.parametrize(
    "limits",
    [
        {"grace_s": 2.0, "linger_s": 2.2},
        {"grace_s": 0.4},
        {"stop_s": 1.0, "linger_s": 1.0},
    ],
)
def test_a_stop_that_is_too_short_for_its_phases_is_a_fault(limits) -> None:
    (fault,) = find_faults(**limits)
    assert "limits.linger_s" in fault


@pytest.mark.parametrize(
    ("limits", "expected_s"),
    [
        ({}, 30.0),
        ({"stop_s": 5.0}, 5.0),
        ({"grace_s": 6.0}, 5.5),
        ({"grace_s": 10.0}, 9.5),
        ({"grace_s": 10.0, "stop_s": 5.0}, 5.0),
    ],
)
def test_a_stop_ends_before_the_process_is_killed(limits, expected_s) -> None:
    assert not find_faults(**limits)
    limits = dataclasses.replace(model.Limits(), **limits)
    assert limits.stop_limit_s == expected_s


def test_memory_for_less_than_the_ordinary_requests_is_a_fault() -> None:
    (fault,) = find_faults(buffered_bytes=5_000_000)
    assert "limits.buffered_bytes" in fault
    assert not find_faults(buffered_bytes=5_300_000)
