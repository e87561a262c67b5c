"""Compact encoding of the messages that daemons exchange most often."""

import dataclasses

import pytest

from burdockdeal.core import call
from burdockdeal.core import codec
from burdockdeal.core import load_report
from burdockdeal.core import verdict
from burdockdeal.membership import messages as membership
from burdockdeal.serving import messages as serving
from burdockdeal.settings import model

_INCARNATION = 1_773_888_147_250
_MEMBER = membership.Member(
    "sidecar-shotton-5",
    "shotton",
    "deeside",
    model.Address("10.1.0.33", 8300),
    _INCARNATION,
    serial=3,
    service="orders",
    slots=9,
    upstream_incarnation=_INCARNATION,
)

MESSAGES = [
    call.build_envelope(
        call.Call("9c41d07be2a35f68", "orders", "p1-500", 1001.5),
        "sidecar-shotton-5",
        _INCARNATION,
        1,
        1000.0,
        daemon_incarnation=_INCARNATION,
        sent_at=1234.5,
    ),
    serving.OwnerReport(
        verdict.Verdict.NOT_RUN,
        load_report.LoadReport(3, 0, 9, service_ms=163.1, spent_ms=6.5),
        verdict.Reason.SLOWED,
        "slowed",
        _INCARNATION,
        1234.5,
    ),
    membership.Ping(
        _MEMBER,
        7,
        (_MEMBER, _MEMBER),
        (membership.Claim("d", _INCARNATION, 3, membership.Health.SUSPECT),),
    ),
]


@pytest.mark.parametrize("message", MESSAGES)
def test_a_message_survives_the_compact_encoding(message: object) -> None:
    raw = codec.encode_compact(message)
    assert codec.decode_compact(raw, type(message)) == message
    assert len(raw) < 0.55 * len(codec.encode(message))


def test_fields_of_an_older_sender_have_their_defaults() -> None:
    @dataclasses.dataclass(frozen=True, slots=True)
    class Versioned:
        name: str
        added: int = 5

    assert codec.decode_compact('["a"]', Versioned) == Versioned("a", 5)
    assert codec.decode_compact('["a",1,"newer"]', Versioned).added == 1


@pytest.mark.parametrize("raw", ["", "{}", "[]", '["a"]', b"\xff", "[1,2"])
def test_input_that_does_not_fit_is_malformed(raw: str | bytes) -> None:
    with pytest.raises(codec.MalformedError):
        codec.decode_compact(raw, call.Envelope)
