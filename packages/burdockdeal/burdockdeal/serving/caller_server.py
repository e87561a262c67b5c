"""What a connection of a caller needs of the server that it belongs to."""

import asyncio
from collections import abc
import typing

from aiohttp import web

from burdockdeal.configuration import resources
from burdockdeal.overload import memory
from burdockdeal.serving import request_intake
from burdockdeal.settings import model


class Server(typing.Protocol):
    """The server that a connection belongs to."""

    closing: bool
    closes_idle: bool
    ledger: memory.MemoryLedger
    limits: model.Limits
    #: What every connection reads into, since it is parsed at once.
    read_buffer: memoryview
    turn_budget: request_intake.TurnBudget
    caller_limits: abc.Callable[[], resources.CallerLimits]

    def connection_made(
        self, connection: asyncio.BaseProtocol, transport: asyncio.Transport
    ) -> None:
        """Register a new connection."""

    def connection_lost(
        self, connection: asyncio.BaseProtocol, exc: BaseException | None
    ) -> None:
        """Remove a connection that has ended."""

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle a request."""

    def respond_to_error(
        self, error: Exception, *, status: int = 500
    ) -> web.Response:
        """Log a request that could not be handled and build its response."""
