"""Names of the HTTP headers that burdockdeal reads or writes."""

REQUEST_ID = "Burdockdeal-Request-Id"
VERDICT = "Burdockdeal-Verdict"
REASON = "Burdockdeal-Reason"
RANK = "Burdockdeal-Rank"
DEADLINE_MS = "Burdockdeal-Deadline-Ms"
DEPTH = "Burdockdeal-Depth"
RETRY_TOKENS = "Burdockdeal-Retry-Tokens"
INCARNATION = "Burdockdeal-Incarnation"
IDEMPOTENCY_KEY = "Idempotency-Key"
AUTHORIZATION = "Authorization"
#: Tells the upstream the workspace of a request.
WORKSPACE = "Burdockdeal-Workspace"

#: Headers that daemons exchange with each other only.
ENVELOPE = "Burdockdeal-Envelope"
REPORT = "Burdockdeal-Report"
PEER_TOKEN = "Burdockdeal-Peer-Token"

#: Hop-by-hop headers, in lower case (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

#: Headers of burdockdeal's own, in lower case; a caller's are not forwarded.
INTERNAL = frozenset(
    name.lower()
    for name in (
        REQUEST_ID,
        VERDICT,
        REASON,
        RANK,
        DEADLINE_MS,
        DEPTH,
        RETRY_TOKENS,
        INCARNATION,
        WORKSPACE,
        ENVELOPE,
        REPORT,
        PEER_TOKEN,
    )
)
