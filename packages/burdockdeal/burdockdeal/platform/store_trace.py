"""Whether a call to the store was sent on a reused connection."""

import aiohttp


class Attempt:
    """The trace context of one HTTP request.

    It returns whether the request was sent on a reused connection.
    """

    def __init__(self) -> None:
        self.reused = False


def build_reuse_trace() -> aiohttp.TraceConfig:
    """Build a trace that marks requests sent on a reused connection.

    aiohttp resends such a request by itself if the connection breaks. If the
    resend then fails to connect, the first send may still have taken effect.
    """

    async def mark_reused(
        session: aiohttp.ClientSession, context: object, params: object
    ) -> None:
        context.trace_request_ctx.reused = True

    trace = aiohttp.TraceConfig()
    trace.on_connection_reuseconn.append(mark_reused)
    return trace
