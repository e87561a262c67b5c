"""Listening sockets, bound without a resolver so that no thread starts."""

import asyncio
from collections import abc
import contextlib
import socket

from aiohttp import web

from burdockdeal.daemon import loop as loops
from burdockdeal.overload import connections
from burdockdeal.serving import pipelined_server
from burdockdeal.settings import model

_BACKLOG = 1024

#: Stops accepting connections.
StopListening = abc.Callable[[], abc.Awaitable[None]]


@contextlib.contextmanager
def _bind(address: model.Address) -> abc.Iterator[socket.socket]:
    family, kind, _, _, target = loops.resolve(address.host, address.port)
    with socket.socket(family, kind) as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(target)
        listener.setblocking(False)
        yield listener


async def serve_application(
    stack: contextlib.AsyncExitStack,
    runner: web.BaseRunner,
    address: model.Address,
    limiter: connections.ConnectionLimiter,
) -> StopListening:
    """Serve an application on an address until the stack is unwound.

    asyncio would resolve even an IP address in its thread pool, so the
    socket is bound here.

    :param limiter: limits the listener's connections.
    :returns: a function that stops accepting connections and keeps the
        established ones open.
    """
    listener = stack.enter_context(_bind(address))
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    await stack.enter_async_context(limiter)
    limiter.attach(runner.server)
    site = web.SockSite(runner, listener, backlog=_BACKLOG)
    await site.start()

    async def stop() -> None:
        await site.stop()
        listener.close()

    return stop


async def serve_callers(
    stack: contextlib.AsyncExitStack,
    server: pipelined_server.PipelinedServer,
    address: model.Address,
    limiter: connections.ConnectionLimiter,
) -> StopListening:
    """Serve callers on an address until the stack is unwound.

    :param limiter: limits the listener's connections.
    :returns: a function that stops accepting connections and closes those
        that have no request.
    """
    listener = stack.enter_context(_bind(address))
    await stack.enter_async_context(server)
    await stack.enter_async_context(limiter)
    limiter.attach(server)
    loop = asyncio.get_running_loop()
    asyncio_server = await loop.create_server(
        server, sock=listener, backlog=_BACKLOG
    )
    stack.callback(asyncio_server.close)

    async def stop() -> None:
        asyncio_server.close()
        server.close_idle()

    return stop
