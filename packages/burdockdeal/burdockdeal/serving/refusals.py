"""Answers of burdockdeal's own, when there is none of an upstream."""

import dataclasses

from aiohttp import web

from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal.core import headers
from burdockdeal.core import verdict


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """The body of such an answer."""

    verdict: verdict.Verdict
    reason: verdict.Reason
    detail: str
    request_id: str


def build_refusal(error: errors.CallError, request_id: str) -> web.Response:
    """Build the answer that tells a caller of an error."""
    refusal = Refusal(error.outcome, error.reason, error.detail, request_id)
    status = verdict.HTTP_STATUS[error.reason]
    extra = {"Retry-After": "1"} if status == 503 else {}
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
