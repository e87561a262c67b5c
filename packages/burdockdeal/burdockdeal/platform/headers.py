"""The HTTP headers of the platform's clients and upstreams."""

from collections import abc

from aiohttp import web

from burdockdeal.core import errors
from burdockdeal.core import headers
from burdockdeal.core import verdict
from burdockdeal.measurement import state as measurement
from burdockdeal.serving import header_codec
from burdockdeal.serving import messages
from burdockdeal.settings import model

#: Identifies one attempt of a client; each retry by the client has a new id.
ATTEMPT_ID = "Attempt-Id"
DEADLINE_MS = "Deadline-Ms"
#: The service whose instance sent the request.
CALLER_SERVICE = "Caller-Service"
#: The only instance that may run the request.
TARGET_INSTANCE = "Target-Instance"
#: Set on a response if the upstream did not run the request.
NOT_EXECUTED = "Not-Executed"
SERVER_LOAD = "Server-Load"
#: Milliseconds for which the upstream that sends a health response is cold.
COLD_MS = "Cold-Ms"
#: The workspace of a request.
TENANT = "Tenant"

_MISDIRECTED = 421
_MAX_DEADLINE_MS = 1e9
#: The longest time that an upstream may report to be cold: a day.
_MAX_COLD_MS = 86_400_000
#: Numbers that a load contains at least, and at most; what follows has no
#: meaning yet.
_MIN_LOAD_NUMBERS = 3
_MAX_LOAD_NUMBERS = 4
#: The largest number that a load may contain.
_MAX_LOAD_NUMBER = 1e6


def _read_deadline(received: header_codec.Headers) -> float | None:
    try:
        deadline_ms = float(received.get(DEADLINE_MS, ""))
    except ValueError:
        return None
    return deadline_ms if 0 <= deadline_ms < _MAX_DEADLINE_MS else None


def _read_terms(
    received: header_codec.Headers,
) -> header_codec.RequestMetadata:
    return header_codec.RequestMetadata(
        request_id=received.get(ATTEMPT_ID, ""),
        timeout_ms=_read_deadline(received),
        workspace_key=header_codec.read_bearer_key(received),
    )


def _build_refusal(error: errors.CallError, request_id: str) -> web.Response:
    status = header_codec.choose_status(error)
    added = {}
    if error.outcome is verdict.Verdict.NOT_RUN and error.retry_after_s > 0:
        added["Retry-After"] = f"{error.retry_after_s:.3f}"
    if request_id:
        added[ATTEMPT_ID] = request_id
    return web.Response(
        status=status,
        text=f"{error.reason}\n",
        headers=added,
    )


def _mark_send(
    send: messages.Send, name: str, now: float
) -> header_codec.Headers:
    remaining_ms = max(1, int((send.request.deadline - now) * 1000))
    added = {DEADLINE_MS: str(remaining_ms)}
    if name:
        added[TARGET_INSTANCE] = name
    if send.request.workspace:
        added[TENANT] = send.request.workspace
    return added


def _is_refusal(status: int, received: header_codec.Headers) -> bool:
    return NOT_EXECUTED in received or status == _MISDIRECTED


def _is_answer_to(send: messages.Send, received: header_codec.Headers) -> bool:
    """Return whether a response echoes the id of a request.

    A response without an id can't be told from a late copy of another one.
    """
    return received.get(ATTEMPT_ID) == send.request.request_id


def read_load(
    received: header_codec.Headers,
) -> measurement.UpstreamLoad | None:
    """Parse the load that an upstream reports in a response header.

    The comma-separated fields are the running calls, the waiting calls, the
    slots and, from some upstreams, the time that a call currently takes on
    the machine as a percentage of the usual time.

    :returns: the load, or None if the header is missing or invalid.
    """
    fields = received.get(SERVER_LOAD, "").split(",")
    try:
        numbers = [float(part) for part in fields[:_MAX_LOAD_NUMBERS]]
    except ValueError:
        return None
    # Neither holds for NaN.
    if not all(0 <= number <= _MAX_LOAD_NUMBER for number in numbers):
        return None
    if len(numbers) < _MIN_LOAD_NUMBERS:
        return None
    running, waiting, slots = map(int, numbers[:_MIN_LOAD_NUMBERS])
    slower = numbers[_MIN_LOAD_NUMBERS:]
    slowdown = slower[0] / 100 if slower else 1.0
    return measurement.UpstreamLoad(
        running, waiting, slots, max(0.01, slowdown)
    )


def read_cold_ms(received: header_codec.Headers) -> float | None:
    """Parse for how long an upstream says that it is still cold.

    :returns: milliseconds, or None if the header is missing or invalid.
    """
    try:
        cold_ms = float(received.get(COLD_MS, ""))
    except ValueError:
        return None
    return cold_ms if 0 <= cold_ms <= _MAX_COLD_MS else None


def make_dialect(settings: model.Settings) -> header_codec.HeaderCodec:
    """Make the dialect of a daemon beside an upstream of one service."""
    origin: abc.Mapping[str, str] = {
        CALLER_SERVICE: settings.deployment.service
    }
    return header_codec.HeaderCodec(
        read_metadata=_read_terms,
        build_origin_headers=lambda: origin,
        build_response_headers=lambda request_id: {},
        build_error_response=_build_refusal,
        build_send_headers=_mark_send,
        is_refusal=_is_refusal,
        is_response_to=_is_answer_to,
        read_load=read_load,
        hop_headers=frozenset({DEADLINE_MS.lower(), TARGET_INSTANCE.lower()}),
        identity_headers=frozenset(
            {headers.AUTHORIZATION.lower(), TENANT.lower()}
        ),
        has_response_ids=True,
    )
