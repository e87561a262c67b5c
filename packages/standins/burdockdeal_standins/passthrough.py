"""A minimal aiohttp reverse proxy: the baseline cost of one hop."""

import asyncio
import os

import aiohttp
from aiohttp import web
import fire
import yarl

from burdockdeal.daemon import loop as loops
from burdockdeal_standins import process

_DROPPED_HEADERS = ("Connection", "Transfer-Encoding", "Content-Length")


def serve(*, port: int, target: str, host: str = "127.0.0.1") -> None:
    """Forward requests to a target until SIGTERM.

    :param target: host:port of the server that requests are forwarded to.
    """

    async def main() -> None:
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, use_dns_cache=False),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
        ) as session:

            async def forward(request: web.BaseRequest) -> web.Response:
                async with session.request(
                    request.method,
                    yarl.URL(f"http://{target}{request.raw_path}"),
                    headers=request.headers,
                    data=await request.read() or None,
                    allow_redirects=False,
                ) as response:
                    response_headers = response.headers.copy()
                    for name in _DROPPED_HEADERS:
                        response_headers.popall(name, None)
                    return web.Response(
                        status=response.status,
                        headers=response_headers,
                        body=await response.read(),
                    )

            runner = web.ServerRunner(web.Server(forward, access_log=None))
            await runner.setup()
            await web.TCPSite(runner, host, port).start()
            await process.wait_for_stop()
            await runner.cleanup()

    os.environ["UV_USE_IO_URING"] = "0"
    with asyncio.Runner(loop_factory=loops.new_loop) as runner:
        runner.run(main())


if __name__ == "__main__":
    fire.Fire(serve)
