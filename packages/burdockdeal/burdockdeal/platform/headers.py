"""The headers of the platform's clients and workers."""

from collections import abc

from aiohttp import web

from burdockdeal.core import errors
from burdockdeal.core import verdict
from burdockdeal.measurement import state as measurement
from burdockdeal.serving import header_codec
from burdockdeal.serving import messages
from burdockdeal.settings import model

#: Names one attempt of a client; a client that asks again takes a new one.
REQUEST_ID = "Attempt-Id"
DEADLINE_MS = "Deadline-Ms"
#: The service beside which a request was made.
CALLER = "Caller-Service"
#: The instance that alone may run a request.
INSTANCE = "Target-Instance"
#: On an answer: the upstream did not run the request.
NOT_RUN = "Not-Executed"
LOAD = "Server-Load"

_MISDIRECTED = 421
_LONGEST_MS = 1e9


def _read_deadline(given: header_codec.Headers) -> float | None:
    try:
        number = float(given.get(DEADLINE_MS, ""))
    except ValueError:
        return None
    return number if 0 <= number < _LONGEST_MS else None


def _read_terms(given: header_codec.Headers) -> header_codec.RequestMetadata:
    return header_codec.RequestMetadata(
        request_id=given.get(REQUEST_ID, ""),
        timeout_ms=_read_deadline(given),
    )


def _build_refusal(error: errors.CallError, request_id: str) -> web.Response:
    status = header_codec.choose_status(error)
    extra = {}
    if error.outcome is verdict.Verdict.NOT_RUN and error.retry_after_s > 0:
        extra["Retry-After"] = f"{error.retry_after_s:.3f}"
    if request_id:
        extra[REQUEST_ID] = request_id
    return web.Response(
        status=status,
        text=f"{error.reason}\n",
        headers=extra,
    )


def _mark_send(
    send: messages.Send, name: str, now: float
) -> header_codec.Headers:
    left_ms = max(1, int((send.request.deadline - now) * 1000))
    marks = {DEADLINE_MS: str(left_ms)}
    if name:
        marks[INSTANCE] = name
    return marks


def _is_refusal(status: int, given: header_codec.Headers) -> bool:
    return NOT_RUN in given or status == _MISDIRECTED


def _is_answer_to(send: messages.Send, given: header_codec.Headers) -> bool:
    echoed = given.get(REQUEST_ID)
    return echoed is None or echoed == send.request.request_id


def read_load(given: header_codec.Headers) -> measurement.UpstreamLoad | None:
    """Read what a worker tells of its load.

    The fields are running, waiting, slots and, from some workers, how long
    work takes on that machine at that moment, in hundredths of the usual.

    :returns: None if it tells nothing that can be read.
    """
    parts = given.get(LOAD, "").split(",")
    try:
        numbers = [float(part) for part in parts]
    except ValueError:
        return None
    if len(numbers) < 3 or min(numbers) < 0:
        return None
    slowdown = numbers[3] / 100 if len(numbers) > 3 else 1.0
    running, waiting, slots = map(int, numbers[:3])
    return measurement.UpstreamLoad(
        running, waiting, slots, max(0.01, slowdown)
    )


def make_dialect(settings: model.Settings) -> header_codec.HeaderCodec:
    """Make the dialect of a daemon beside one service's worker."""
    origin: abc.Mapping[str, str] = {CALLER: settings.deployment.service}
    return header_codec.HeaderCodec(
        read_metadata=_read_terms,
        build_origin_headers=lambda: origin,
        build_response_headers=lambda request_id: {},
        build_error_response=_build_refusal,
        build_send_headers=_mark_send,
        is_refusal=_is_refusal,
        is_response_to=_is_answer_to,
        read_load=read_load,
    )
