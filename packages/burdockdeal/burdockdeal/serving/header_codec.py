"""Translation between HTTP headers and the request path's data classes.

The request path uses a header codec and knows no header's name, so that
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

_KEY_SCHEME = "bearer"

#: Statuses of refusals after which a caller may come back.
_RETRY_STATUSES = frozenset({429, 503})


@dataclasses.dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What a caller's headers say about its request.

    :param request_id: the caller's id of the request, empty without one.
    :param timeout_ms: milliseconds that the caller waits, None if unknown.
    :param rank: the lower rank that the caller asks for, None to use its
        rule's.
    :param depth: number of calls that the request is nested in.
    :param retry_tokens: number of further sends that the request may cause,
        None if the caller sets no limit.
    :param idempotency_key: the caller's idempotency key, None without one.
    :param workspace_key: the key of the caller's workspace, None without one.
    """

    request_id: str = ""
    timeout_ms: float | None = None
    rank: str | None = None
    depth: int = 0
    retry_tokens: int | None = None
    idempotency_key: str | None = None
    workspace_key: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ErrorBody:
    """Body of a response that burdockdeal itself generates."""

    verdict: verdict.Verdict
    reason: verdict.Reason
    detail: str
    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderCodec:
    """The functions that read and build headers.

    :param read_metadata: reads a caller's headers; raises NotRunError if
        one is invalid.
    :param build_origin_headers: builds the headers that the entry daemon
        sets on each forwarded request, in place of the caller's.
    :param build_response_headers: builds the headers that are added to an
        upstream's response, from the request id.
    :param build_error_response: builds the response that reports an error
        to a caller.
    :param build_send_headers: builds the headers for the upstream, from the
        send, the upstream's name and the monotonic time in seconds.
    :param is_refusal: whether an upstream's status and headers say that it
        did not run the request.
    :param is_response_to: whether a response's headers belong to a send.
    :param read_load: reads the load that an upstream's headers report, None
        if they report none.
    :param hop_headers: names, in lower case, of a caller's headers that are
        set anew for the upstream, so that other daemons need not get them.
    :param identity_headers: names, in lower case, of the headers that carry
        a workspace's key or its name. A daemon whose configuration has
        workspaces removes them from a caller's request.
    :param has_response_ids: whether an upstream's responses name the request,
        so that a copy of another response is recognized.
    """

    read_metadata: abc.Callable[[Headers], RequestMetadata]
    build_origin_headers: abc.Callable[[], Headers]
    build_response_headers: abc.Callable[[str], Headers]
    build_error_response: abc.Callable[[errors.CallError, str], web.Response]
    build_send_headers: abc.Callable[[messages.Send, str, float], Headers]
    is_refusal: abc.Callable[[int, Headers], bool]
    is_response_to: abc.Callable[[messages.Send, Headers], bool]
    read_load: abc.Callable[[Headers], measurement.UpstreamLoad | None]
    hop_headers: frozenset[str] = frozenset()
    identity_headers: frozenset[str] = frozenset()
    has_response_ids: bool = False


def choose_status(error: errors.CallError) -> int:
    """Choose the HTTP status for an error.

    A status from which a caller may conclude that its request did not run
    is used only if that is certain.
    """
    status = verdict.HTTP_STATUS[error.reason]
    if error.outcome is verdict.Verdict.NOT_RUN:
        return status
    return verdict.RETRYABLE_STATUS_REPLACEMENTS.get(status, status)


def read_bearer_key(received: Headers) -> str | None:
    """Return the key of an Authorization header, None without one.

    Only the Bearer scheme (RFC 6750) carries the key of a workspace.
    """
    scheme, _, key = received.get(headers.AUTHORIZATION, "").partition(" ")
    if scheme.lower() != _KEY_SCHEME:
        return None
    return key.strip() or None


def _read_number(received: Headers, name: str) -> float | None:
    raw = received.get(name)
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


def _read_metadata(received: Headers) -> RequestMetadata:
    tokens = _read_number(received, headers.RETRY_TOKENS)
    return RequestMetadata(
        timeout_ms=_read_number(received, headers.DEADLINE_MS),
        rank=received.get(headers.RANK),
        depth=int(_read_number(received, headers.DEPTH) or 0),
        retry_tokens=None if tokens is None else int(tokens),
        idempotency_key=received.get(headers.IDEMPOTENCY_KEY),
        workspace_key=read_bearer_key(received),
    )


def _build_response_headers(request_id: str) -> Headers:
    return {
        headers.VERDICT: verdict.Verdict.RAN.value,
        headers.REQUEST_ID: request_id,
    }


def _build_error_response(
    error: errors.CallError, request_id: str
) -> web.Response:
    body = ErrorBody(error.outcome, error.reason, error.detail, request_id)
    status = choose_status(error)
    extra = {}
    if status in _RETRY_STATUSES:
        extra["Retry-After"] = str(max(1, math.ceil(error.retry_after_s)))
    return web.Response(
        status=status,
        body=codec.encode(body),
        content_type="application/json",
        headers={
            headers.VERDICT: error.outcome,
            headers.REASON: error.reason,
            headers.REQUEST_ID: request_id,
            **extra,
        },
    )


def _build_send_headers(send: messages.Send, name: str, now: float) -> Headers:
    request = send.request
    identity = (
        {headers.WORKSPACE: request.workspace} if request.workspace else {}
    )
    return {
        **identity,
        headers.INCARNATION: str(send.incarnation),
        headers.REQUEST_ID: request.request_id,
        headers.RANK: request.rank,
        headers.DEADLINE_MS: f"{(request.deadline - now) * 1000:.0f}",
        headers.DEPTH: str(request.depth + 1),
        headers.RETRY_TOKENS: str(request.retry_tokens),
    }


def _is_refusal(status: int, received: Headers) -> bool:
    return received.get(headers.VERDICT) == verdict.Verdict.NOT_RUN


#: The codec for the headers in docs/CALLERS.md and docs/UPSTREAMS.md.
DEFAULT = HeaderCodec(
    read_metadata=_read_metadata,
    build_origin_headers=dict,
    build_response_headers=_build_response_headers,
    build_error_response=_build_error_response,
    build_send_headers=_build_send_headers,
    is_refusal=_is_refusal,
    is_response_to=lambda send, received: True,
    read_load=lambda received: None,
    identity_headers=frozenset({headers.AUTHORIZATION.lower()}),
)
