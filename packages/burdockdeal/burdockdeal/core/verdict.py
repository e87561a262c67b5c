"""Outcome of a request: whether an upstream ran it, and the reason."""

import enum


class Verdict(enum.StrEnum):
    """Whether an upstream ran a request."""

    NOT_RUN = "NOT_RUN"
    RAN = "RAN"
    MAY_HAVE_RUN = "MAY_HAVE_RUN"


class Reason(enum.StrEnum):
    """Why burdockdeal answered a request itself."""

    MALFORMED = "MALFORMED"
    HEADER_TOO_LARGE = "HEADER_TOO_LARGE"
    BODY_TOO_LARGE = "BODY_TOO_LARGE"
    NO_RULE = "NO_RULE"
    UNKNOWN_SERVICE = "UNKNOWN_SERVICE"
    UNKNOWN_RANK = "UNKNOWN_RANK"
    TOO_DEEP = "TOO_DEEP"
    UNAUTHENTICATED = "UNAUTHENTICATED"
    KEY_REFUSED = "KEY_REFUSED"
    KEY_UNCONFIRMED = "KEY_UNCONFIRMED"
    QUOTA_EXCEEDED = "QUOTA_EXCEEDED"
    NOT_CONFIGURED = "NOT_CONFIGURED"
    NO_INSTANCE = "NO_INSTANCE"
    NO_REGION = "NO_REGION"
    EVACUATED = "EVACUATED"
    COLD = "COLD"
    STALE_INSTANCE = "STALE_INSTANCE"
    DRAINING = "DRAINING"
    QUEUE_FULL = "QUEUE_FULL"
    SHED = "SHED"
    TARGET_MISSED = "TARGET_MISSED"
    SLOWED = "SLOWED"
    BUSY = "BUSY"
    FAILING = "FAILING"
    DEADLINE_PASSED = "DEADLINE_PASSED"
    OVERLOADED = "OVERLOADED"
    SLOW_CALLER = "SLOW_CALLER"
    UNREACHABLE = "UNREACHABLE"
    BROKEN_CONNECTION = "BROKEN_CONNECTION"
    TIMED_OUT = "TIMED_OUT"
    KEY_CONFLICT = "KEY_CONFLICT"
    KEY_UNKNOWN = "KEY_UNKNOWN"
    KEY_HELD = "KEY_HELD"
    CLAIM_UNAVAILABLE = "CLAIM_UNAVAILABLE"
    OWNER_GONE = "OWNER_GONE"
    ANSWER_GONE = "ANSWER_GONE"
    FENCED = "FENCED"
    UPSTREAM_REFUSED = "UPSTREAM_REFUSED"
    CALLER_GONE = "CALLER_GONE"
    INTERNAL = "INTERNAL"


#: Refusals by an instance that is overloaded.
OVERLOAD_REASONS = frozenset(
    {
        Reason.QUEUE_FULL,
        Reason.SHED,
        Reason.TARGET_MISSED,
        Reason.OVERLOADED,
    }
)

#: Replacements for the statuses 408, 421, 429 and 503 where the request may
#: have run: callers take these four to mean that it did not run.
RETRYABLE_STATUS_REPLACEMENTS: dict[int, int] = {
    408: 502,
    421: 502,
    429: 502,
    503: 502,
}

#: HTTP status that a caller receives for each reason.
HTTP_STATUS: dict[Reason, int] = {
    Reason.MALFORMED: 400,
    Reason.HEADER_TOO_LARGE: 431,
    Reason.BODY_TOO_LARGE: 413,
    Reason.NO_RULE: 404,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.UNKNOWN_RANK: 400,
    Reason.TOO_DEEP: 508,
    Reason.UNAUTHENTICATED: 401,
    Reason.KEY_REFUSED: 401,
    Reason.KEY_UNCONFIRMED: 503,
    Reason.QUOTA_EXCEEDED: 429,
    Reason.NOT_CONFIGURED: 503,
    Reason.NO_INSTANCE: 503,
    Reason.NO_REGION: 503,
    Reason.EVACUATED: 503,
    Reason.COLD: 503,
    Reason.STALE_INSTANCE: 503,
    Reason.DRAINING: 503,
    Reason.QUEUE_FULL: 503,
    Reason.SHED: 503,
    Reason.TARGET_MISSED: 503,
    Reason.SLOWED: 503,
    Reason.BUSY: 503,
    Reason.FAILING: 503,
    Reason.DEADLINE_PASSED: 504,
    Reason.OVERLOADED: 503,
    Reason.SLOW_CALLER: 408,
    Reason.UNREACHABLE: 503,
    Reason.BROKEN_CONNECTION: 502,
    Reason.TIMED_OUT: 504,
    Reason.KEY_CONFLICT: 422,
    Reason.KEY_UNKNOWN: 409,
    Reason.KEY_HELD: 503,
    Reason.CLAIM_UNAVAILABLE: 503,
    Reason.OWNER_GONE: 409,
    Reason.ANSWER_GONE: 409,
    Reason.FENCED: 503,
    Reason.UPSTREAM_REFUSED: 503,
    Reason.CALLER_GONE: 499,
    Reason.INTERNAL: 500,
}
