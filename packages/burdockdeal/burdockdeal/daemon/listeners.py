"""Listening on an address without the resolver, which takes threads."""

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

#: Take no more connections.
Stop = abc.Callable[[], abc.Awaitable[None]]


@contextlib.contextmanager
def _bind(address: model.Address) -> abc.Iterator[socket.socket]:
    family, kind, _, _, target = loops.resolve(address.host, address.port)
    with socket.socket(family, kind) as bound:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.bind(target)
        bound.setblocking(False)
        yield bound


async def listen(
    stack: contextlib.AsyncExitStack,
    runner: web.BaseRunner,
    address: model.Address,
    bound: connections.ConnectionLimiter,
) -> Stop:
    """Serve an application on an address until the stack is unwound.

    :param bound: bounds the listener's connections.

    The loop resolves even IP numbers on its pool of threads; a socket
    that is bound here needs none.

    :returns: a function that takes no more connections and keeps those
        that stand.
    """
    listener = stack.enter_context(_bind(address))
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    await stack.enter_async_context(bound)
    bound.attach(runner.server)
    site = web.SockSite(runner, listener, backlog=_BACKLOG)
    await site.start()

    async def stop() -> None:
        await site.stop()
        listener.close()

    return stop


async def listen_pipelined(
    stack: contextlib.AsyncExitStack,
    server: pipelined_server.PipelinedServer,
    address: model.Address,
    bound: connections.ConnectionLimiter,
) -> Stop:
    """Serve callers on an address until the stack is unwound.

    :param bound: bounds the listener's connections.
    :returns: a function that takes no more connections, and ends those
        that have no request.
    """
    listener = stack.enter_context(_bind(address))
    await stack.enter_async_context(server)
    await stack.enter_async_context(bound)
    bound.attach(server)
    loop = asyncio.get_running_loop()
    listening = await loop.create_server(
        server, sock=listener, backlog=_BACKLOG
    )
    stack.callback(listening.close)

    async def stop() -> None:
        listening.close()
        server.close_idle()

    return stop
