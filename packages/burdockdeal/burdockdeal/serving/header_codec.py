"""How callers and upstreams spell what goes beside a request.

The path of requests asks a dialect and knows no header's name, so that
another front end can use the same code.
"""

from collections import abc
import dataclasses
import math

from aiohttp import web

from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal.core import headers
from burdockdeal.core import verdict
from burdockdeal.measurement import state as measurement
from burdockdeal.serving import messages

Headers = abc.Mapping[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What a caller says of its request, beside method and path.

    :param request_id: the caller's own id of it, empty without one.
    :param allowed_ms: milliseconds that the caller waits, None if it does
        not say.
    :param rank: the rank it wants to lower itself to, None for its rule's.
    :param depth: how many calls it is nested in.
    :param retry_tokens: None if it carries none.
    :param idempotency_key: None without one.
    """

    request_id: str = ""
    timeout_ms: float | None = None
    rank: str | None = None
    depth: int = 0
    retry_tokens: int | None = None
    idempotency_key: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ErrorBody:
    """The body of an answer of burdockdeal's own."""

    verdict: verdict.Verdict
    reason: verdict.Reason
    detail: str
    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderCodec:
    """The functions that read and write headers.

    :param read_terms: reads a caller's headers.
    :param mark_origin: headers that the entry sets on what it sends on,
        whatever the caller sent.
    :param mark_answer: headers that are added to an upstream's answer.
    :param build_error_response: builds the response that reports an error
        to a caller.
    :param mark_send: headers for the upstream, at a moment.
    :param is_refusal: whether an upstream's status and headers say that it
        did not run the request.
    :param is_answer_to: whether an upstream's headers belong to a send.
    :param read_load: what an upstream's headers tell of its load.
    """

    read_metadata: abc.Callable[[Headers], RequestMetadata]
    build_origin_headers: abc.Callable[[], Headers]
    build_response_headers: abc.Callable[[str], Headers]
    build_error_response: abc.Callable[[errors.CallError, str], web.Response]
    build_send_headers: abc.Callable[[messages.Send, str, float], Headers]
    is_refusal: abc.Callable[[int, Headers], bool]
    is_response_to: abc.Callable[[messages.Send, Headers], bool]
    read_load: abc.Callable[[Headers], measurement.Told | None]


def choose_status(error: errors.CallError) -> int:
    """Find the HTTP status that tells a caller of an error.

    A status that a caller may take for "not run" is kept for that.
    """
    status = verdict.HTTP_STATUS[error.reason]
    if error.outcome is verdict.Verdict.NOT_RUN:
        return status
    return verdict.RETRYABLE_STATUS_REPLACEMENTS.get(status, status)


def _read_number(given: Headers, name: str) -> float | None:
    raw = given.get(name)
    if raw is None:
        return None
    try:
        number = float(raw)
    except ValueError:
        number = -1.0
    if not 0 <= number < 1e9:
        detail = f"{name} is not a number from 0"
        raise errors.NotRunError(verdict.Reason.MALFORMED, detail)
    return number


def _read_terms(given: Headers) -> RequestMetadata:
    tokens = _read_number(given, headers.RETRY_TOKENS)
    return RequestMetadata(
        timeout_ms=_read_number(given, headers.DEADLINE_MS),
        rank=given.get(headers.RANK),
        depth=int(_read_number(given, headers.DEPTH) or 0),
        retry_tokens=None if tokens is None else int(tokens),
        idempotency_key=given.get(headers.IDEMPOTENCY_KEY),
    )


def _mark_answer(request_id: str) -> Headers:
    return {
        headers.VERDICT: verdict.Verdict.RAN.value,
        headers.REQUEST_ID: request_id,
    }


def _build_error_response(
    error: errors.CallError, request_id: str
) -> web.Response:
    refusal = ErrorBody(error.outcome, error.reason, error.detail, request_id)
    status = choose_status(error)
    extra = {}
    if status == 503:
        extra["Retry-After"] = str(max(1, math.ceil(error.retry_after_s)))
    return web.Response(
        status=status,
        body=codec.encode(refusal),
        content_type="application/json",
        headers={
            headers.VERDICT: error.outcome,
            headers.REASON: error.reason,
            headers.REQUEST_ID: request_id,
            **extra,
        },
    )


def _mark_send(send: messages.Send, name: str, now: float) -> Headers:
    request = send.request
    return {
        headers.INCARNATION: str(send.incarnation),
        headers.REQUEST_ID: request.request_id,
        headers.RANK: request.rank,
        headers.DEADLINE_MS: f"{(request.deadline - now) * 1000:.0f}",
        headers.DEPTH: str(request.depth + 1),
        headers.RETRY_TOKENS: str(request.retry_tokens),
    }


def _is_refusal(status: int, given: Headers) -> bool:
    return given.get(headers.VERDICT) == verdict.Verdict.NOT_RUN


#: The headers that docs/CALLERS.md and docs/UPSTREAMS.md describe.
DEFAULT = HeaderCodec(
    read_metadata=_read_terms,
    build_origin_headers=dict,
    build_response_headers=_mark_answer,
    build_error_response=_build_error_response,
    build_send_headers=_mark_send,
    is_refusal=_is_refusal,
    is_response_to=lambda send, given: True,
    read_load=lambda given: None,
)
