"""What clients and workers are told in headers and statuses."""

import itertools
import types

import multidict
import pytest

from burdockdeal.core import call
from burdockdeal.core import errors
from burdockdeal.core import verdict
from burdockdeal.platform import headers
from burdockdeal.serving import bodies
from burdockdeal.serving import messages
from burdockdeal.settings import model

#: Statuses by which a client takes its request for not run.
PROMISES = frozenset({408, 421, 429, 503})

_DEPLOYMENT = types.SimpleNamespace(service="orders")
SPEECH = headers.make_dialect(types.SimpleNamespace(deployment=_DEPLOYMENT))

_ERRORS = (errors.NotRunError, errors.MayHaveRunError, errors.RanError)


@pytest.mark.parametrize(
    ("kind", "reason"), list(itertools.product(_ERRORS, verdict.Reason))
)
def test_only_a_request_that_did_not_run_is_told_so(
    kind: type[errors.CallError], reason: verdict.Reason
) -> None:
    response = SPEECH.build_error_response(kind(reason), "a1")
    if response.status in PROMISES:
        assert kind is errors.NotRunError
    if "Retry-After" in response.headers:
        assert response.status in PROMISES
        assert float(response.headers["Retry-After"]) > 0
    assert response.headers["Attempt-Id"] == "a1"


def make_send(deadline: float) -> messages.Send:
    return messages.Send(
        request=call.Call("a1", "orders", "p1-600", deadline),
        outbound=messages.OutboundRequest(
            "GET",
            "/",
            multidict.CIMultiDict(),
            bodies.Body(None, b"", model.Limits()),
        ),
        daemon="d1",
        peer=model.Address("127.0.0.1", 1),
        incarnation=7,
        attempt=1,
    )


def test_a_send_names_the_only_instance_that_may_run_it() -> None:
    marks = SPEECH.build_send_headers(make_send(deadline=12.5), "i-1", 10.0)
    assert marks == {"Target-Instance": "i-1", "Deadline-Ms": "2500"}


def test_a_worker_is_never_handed_more_time_than_is_left() -> None:
    marks = SPEECH.build_send_headers(make_send(deadline=10.0009), "i-1", 10.0)
    assert marks["Deadline-Ms"] == "1"


def test_the_origin_is_the_daemons_own_whatever_was_sent() -> None:
    sent = multidict.CIMultiDict({"caller-service": "another"})
    sent.update(SPEECH.build_origin_headers())
    assert sent.getall("Caller-Service") == ["orders"]


@pytest.mark.parametrize(
    ("status", "given", "refused"),
    [
        (503, {"Not-Executed": "1"}, True),
        (429, {"Not-Executed": "1"}, True),
        (421, {}, True),
        (503, {}, False),
        (500, {}, False),
        (200, {}, False),
    ],
)
def test_a_worker_that_did_not_run_a_request_says_so(
    status: int, given: dict[str, str], refused: bool
) -> None:
    assert SPEECH.is_refusal(status, given) is refused


def test_an_answer_to_another_request_is_known_by_its_id() -> None:
    send = make_send(deadline=12.5)
    assert SPEECH.is_response_to(send, {"Attempt-Id": "a1"})
    assert not SPEECH.is_response_to(send, {"Attempt-Id": "a2"})


@pytest.mark.parametrize(
    "told", ["", "1,2", "a,b,c", "-1,0,9", "1;2;3", "1,2,nine,100"]
)
def test_a_load_that_can_not_be_read_tells_nothing(told: str) -> None:
    assert headers.read_load({"Server-Load": told}) is None


def test_a_load_is_read_with_and_without_the_machines_slowness() -> None:
    usual = headers.read_load({"Server-Load": "3,1,9"})
    assert (usual.running, usual.waiting, usual.slots) == (3, 1, 9)
    assert usual.slowdown == 1.0
    slow = headers.read_load({"Server-Load": "3,1,9,480"})
    assert slow.slowdown == pytest.approx(4.8)
