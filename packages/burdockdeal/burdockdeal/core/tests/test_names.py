"""Names that another system has chosen, in the messages between daemons.

A version whose service was named `orders_2` was taken by some daemons and
refused by others, as each message had its own idea of a name.
"""

import re
import typing

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from burdockdeal.announce import messages as announce
from burdockdeal.core import call
from burdockdeal.core import codec
from burdockdeal.core import validation
from burdockdeal.core import verdict
from burdockdeal.daemon import metrics
from burdockdeal.evacuation import messages as evacuation
from burdockdeal.membership import decisions as membership_decisions
from burdockdeal.membership import messages as membership
from burdockdeal.quotas import messages as quotas
from burdockdeal.settings import model

_MAX_KEY_BYTES = 200
_PEER = model.Address("10.0.0.1", 80)

_EXAMPLES = (
    "orders_2",
    "Orders",
    "orders.v2",
    "two words",
    "-",
    "a/b",
    "é",
    "\u4e2d\u6587",
    "\U0001f600",
    'quo"te\\n',
    "x" * 200,
    "é" * 200,
)


def is_name(text: str) -> bool:
    try:
        msgspec.convert(text, validation.ExternalName)
    except msgspec.ValidationError:
        return False
    return True


_NAMES = strategies.one_of(
    strategies.sampled_from(_EXAMPLES),
    strategies.text(
        strategies.characters(exclude_categories=("Cs",)), max_size=200
    ).filter(is_name),
)


def _build_messages(name: str) -> list[typing.Any]:
    member = membership.Member(
        "d1", name, name, _PEER, 7, service=name, upstream_incarnation=1
    )
    evacuated = evacuation.EvacuatedDomains((name,), 4, 1)
    return [
        announce.Announce(name, "10.0.0.1", 80, 7, name=name),
        membership.Page((member,), 3),
        membership.Ping(member, 4, (member,), evacuated=evacuated),
        evacuated,
        quotas.CreditRequest(name, 3, unanswered=("d1",)),
    ]


def _build_envelope(name: str) -> call.Envelope:
    request = call.Call(name, name, name, 5.0, workspace=name)
    return call.build_envelope(request, "d1", 1, 1, 4.0)


def _send_in_header(text: str) -> str:
    """Return what arrives of the value of a header field."""
    sent = f"Name: {text}\r\n".encode()
    _, value = re.fullmatch(rb"(.*?):(.*)\r\n", sent).groups()
    return value.strip(b" \t").decode("utf-8", "surrogateescape")


@pytest.mark.parametrize("name", _EXAMPLES)
def test_a_name_of_another_system_is_valid(name: str) -> None:
    assert is_name(name)


@pytest.mark.parametrize(
    "name", ["", " ", " a", "a ", "a\n", "a\x00b", "a\x85b", "x" * 201]
)
def test_what_a_header_field_can_not_carry_is_no_name(name: str) -> None:
    assert not is_name(name)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(name=_NAMES)
def test_each_message_reproduces_names(name: str) -> None:
    for message in _build_messages(name):
        kind = type(message)
        assert codec.decode(codec.encode(message), kind) == message
        compact = codec.encode_compact(message)
        assert codec.decode_compact(compact, kind) == message


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(name=_NAMES)
def test_a_header_field_reproduces_names(name: str) -> None:
    envelope = _build_envelope(name)
    sent = codec.encode_compact(envelope).decode()
    received = codec.decode_compact(_send_in_header(sent), call.Envelope)
    assert received == envelope
    assert _send_in_header(name) == name


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(name=_NAMES)
def test_the_list_of_a_domain_has_a_key(name: str) -> None:
    listed = membership_decisions.name_contact_list(name)
    assert len(f"op-members/{listed}".encode()) <= _MAX_KEY_BYTES
    assert membership_decisions.name_contact_list(listed) == listed


@pytest.mark.parametrize("name", _EXAMPLES)
async def test_a_metric_has_names_as_labels(name: str) -> None:
    counted = metrics.Metrics(())
    counted.count_outcome(name, verdict.Verdict.RAN)

    class Request:
        headers = type("Headers", (), {"getall": lambda *_: []})()

    response = await counted.handle(Request())
    (line,) = (
        line
        for line in response.body.decode().splitlines()
        if line.startswith("burdockdeal_requests_total{")
    )
    (label,) = re.findall(r'rank="((?:[^"\\]|\\.)*)"', line)
    unescaped = re.sub(
        r"\\(.)", lambda found: {"n": "\n"}.get(found[1], found[1]), label
    )
    assert unescaped == name
