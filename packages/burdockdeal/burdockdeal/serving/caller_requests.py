"""A caller's request on a connection that carries others as well."""

from aiohttp import web


class CallerRequest(web.BaseRequest):
    """A request whose connection may close after its response."""

    @property
    def keep_alive(self) -> bool:
        """Whether the connection stays open after the response."""
        return not self._protocol.decide_close()

    @property
    def has_followers(self) -> bool:
        """Whether further requests were read from the connection."""
        return self._protocol.has_followers
