"""Headers and statuses exchanged with clients and upstreams."""

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

#: Statuses from which a client concludes that its request was not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})

_DEPLOYMENT = types.SimpleNamespace(service="orders")
DIALECT = headers.make_dialect(types.SimpleNamespace(deployment=_DEPLOYMENT))

_ERRORS = (errors.NotRunError, errors.MayHaveRunError, errors.RanError)


@pytest.mark.parametrize(
    ("error_type", "reason"), list(itertools.product(_ERRORS, verdict.Reason))
)
def test_only_a_request_that_did_not_run_is_reported_so(
    error_type: type[errors.CallError], reason: verdict.Reason
) -> None:
    response = DIALECT.build_error_response(error_type(reason), "a1")
    if response.status in NOT_RUN_STATUSES:
        assert error_type is errors.NotRunError
    if "Retry-After" in response.headers:
        assert response.status in NOT_RUN_STATUSES
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


def test_a_send_names_its_target_instance() -> None:
    added = DIALECT.build_send_headers(make_send(deadline=12.5), "i-1", 10.0)
    assert added == {"Target-Instance": "i-1", "Deadline-Ms": "2500"}


def test_the_deadline_of_a_send_never_exceeds_the_remaining_time() -> None:
    added = DIALECT.build_send_headers(
        make_send(deadline=10.0009), "i-1", 10.0
    )
    assert added["Deadline-Ms"] == "1"


def test_the_caller_service_header_is_overwritten() -> None:
    outbound_headers = multidict.CIMultiDict({"caller-service": "another"})
    outbound_headers.update(DIALECT.build_origin_headers())
    assert outbound_headers.getall("Caller-Service") == ["orders"]


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
def test_a_refusal_is_recognized_by_status_and_header(
    status: int, given: dict[str, str], refused: bool
) -> None:
    assert DIALECT.is_refusal(status, given) is refused


def test_an_answer_to_another_request_is_recognized_by_its_id() -> None:
    send = make_send(deadline=12.5)
    assert DIALECT.is_response_to(send, {"Attempt-Id": "a1"})
    assert not DIALECT.is_response_to(send, {"Attempt-Id": "a2"})
    assert not DIALECT.is_response_to(send, {"Not-Executed": "1"})


@pytest.mark.parametrize(
    "header",
    [
        "",
        "1,2",
        "a,b,c",
        "-1,0,9",
        "1;2;3",
        "1,2,nine,100",
        "nan,0,9",
        "0,nan,9",
        "0,0,nan",
        "0,0,9,nan",
        "inf,0,9",
        "0,0,inf",
        "0,0,9,inf",
        "0,0,1e300",
        "0,0,9,1e300",
    ],
)
def test_an_invalid_load_header_is_ignored(header: str) -> None:
    """A load that is no number ended a daemon that discovers its upstream."""
    assert headers.read_load({"Server-Load": header}) is None


def test_the_slowdown_in_the_load_header_is_optional() -> None:
    load = headers.read_load({"Server-Load": "3,1,9"})
    assert (load.running, load.waiting, load.slots) == (3, 1, 9)
    assert load.slowdown == 1.0
    slowed = headers.read_load({"Server-Load": "3,1,9,480,1e12"})
    assert slowed.slowdown == pytest.approx(4.8)


def test_odd_cold_times_are_ignored() -> None:
    assert headers.read_cold_ms({"Cold-Ms": "1500"}) == 1500
    for value in ("-1", "", "nan", "inf", "1e12", "soon"):
        assert headers.read_cold_ms({"Cold-Ms": value}) is None
    assert headers.read_cold_ms({}) is None
