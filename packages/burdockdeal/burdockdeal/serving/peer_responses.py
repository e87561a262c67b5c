"""Responses between daemons, without headers that nobody reads.

They cross from one failure domain to another, where each byte is expensive,
and most of a refusal would be headers that aiohttp adds.
"""

from aiohttp import hdrs
from aiohttp import web

_ADDED_HEADERS = (hdrs.CONTENT_TYPE, hdrs.DATE, hdrs.SERVER)


class _LeanHeaders:
    """Leaves out headers that are added by default.

    Those that the upstream has set are kept.
    """

    async def _prepare_headers(self) -> None:
        added = [name for name in _ADDED_HEADERS if name not in self.headers]
        await super()._prepare_headers()
        for name in added:
            self.headers.popall(name, None)


class PeerResponse(_LeanHeaders, web.Response):
    """A response whose body is complete."""


class PeerStreamResponse(_LeanHeaders, web.StreamResponse):
    """A response whose body is written while it arrives."""
