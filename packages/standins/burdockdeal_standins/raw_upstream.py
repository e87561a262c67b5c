"""A raw TCP server in place of an upstream, without a daemon beside it."""

import asyncio
from collections import abc
import contextlib


class RawUpstream:
    """Hands each accepted connection to a replaceable function."""

    def __init__(self) -> None:
        self.connections = 0
        self.port = 0
        self.authority = ""
        self.handler: abc.Callable[..., abc.Awaitable[None]] | None = None

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Count a connection and pass it to the handler."""
        self.connections += 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await self.handler(reader, writer)
        writer.close()


@contextlib.asynccontextmanager
async def run_upstream() -> abc.AsyncIterator[RawUpstream]:
    """Run the server on a free port while in use."""
    upstream = RawUpstream()
    server = await asyncio.start_server(upstream.accept, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    upstream.port = port
    upstream.authority = f"127.0.0.1:{port}"
    try:
        yield upstream
    finally:
        server.close()
