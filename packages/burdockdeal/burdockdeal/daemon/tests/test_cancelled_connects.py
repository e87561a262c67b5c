"""Cancelled connects must not close the socket of another connection.

With uvloop, a cancelled connect closes its socket twice; the second close
hits whichever connection has been given the file descriptor in the meantime.
"""

import asyncio
import random
import typing

import aiohttp
from aiohttp import web

from burdockdeal.daemon import loop as loops
from burdockdeal.daemon import sockets

_HOST = "127.0.0.1"
_ROUNDS = 60
_CONCURRENT_REQUESTS = 20


async def _cancel_connects_to_server(seed: int) -> list[str]:
    """Send many requests and cancel most of them while they connect.

    :returns: the errors of the other requests and of the server.
    """
    failures: list[str] = []
    rng = random.Random(seed)

    def record_failure(loop: asyncio.AbstractEventLoop, context: dict) -> None:
        failures.append(repr(context.get("exception") or context["message"]))

    asyncio.get_running_loop().set_exception_handler(record_failure)

    async def handle(request: web.BaseRequest) -> web.Response:
        return web.Response(text="complete")

    runner = web.ServerRunner(web.Server(handle))
    await runner.setup()
    site = web.TCPSite(runner, _HOST, 0)
    await site.start()
    port = site._server.sockets[0].getsockname()[1]

    async def send(session: aiohttp.ClientSession) -> None:
        async with session.get(f"http://{_HOST}:{port}/") as response:
            assert await response.text() == "complete"

    async def send_or_cancel(session: aiohttp.ClientSession) -> None:
        request_task = asyncio.ensure_future(send(session))
        is_cancelled = rng.random() < 0.7
        for _ in range(rng.randrange(12)):
            await asyncio.sleep(0)
        if is_cancelled:
            request_task.cancel()
        try:
            await request_task
        except asyncio.CancelledError:
            pass
        except (aiohttp.ClientError, RuntimeError) as error:
            failures.append(repr(error))

    connector = aiohttp.TCPConnector(
        limit=0,
        force_close=True,
        socket_factory=sockets.make_socket_factory(_HOST),
    )
    async with aiohttp.ClientSession(connector=connector) as session:
        for _ in range(_ROUNDS):
            requests: list[typing.Any] = [
                send_or_cancel(session) for _ in range(_CONCURRENT_REQUESTS)
            ]
            await asyncio.gather(*requests)
    await runner.cleanup()
    return failures


def test_a_cancelled_connect_leaves_other_connections_intact() -> None:
    with asyncio.Runner(loop_factory=loops.new_loop) as runner:
        assert runner.run(_cancel_connects_to_server(1)) == []
