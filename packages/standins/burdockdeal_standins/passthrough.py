"""A bare pass-through by aiohttp: what one hop costs with the libraries."""

import asyncio
import os

import aiohttp
from aiohttp import web
import fire
import yarl

from burdockdeal.daemon import loop as loops
from burdockdeal_standins import process

_KEPT_OUT = ("Connection", "Transfer-Encoding", "Content-Length")


def serve(*, port: int, target: str, host: str = "127.0.0.1") -> None:
    """Pass requests on to a target until SIGTERM.

    :param target: host:port that requests are passed to.
    """

    async def main() -> None:
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, use_dns_cache=False),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
        ) as session:

            async def pass_on(request: web.BaseRequest) -> web.Response:
                async with session.request(
                    request.method,
                    yarl.URL(f"http://{target}{request.raw_path}"),
                    headers=request.headers,
                    data=await request.read() or None,
                    allow_redirects=False,
                ) as answer:
                    kept = answer.headers.copy()
                    for name in _KEPT_OUT:
                        kept.popall(name, None)
                    return web.Response(
                        status=answer.status,
                        headers=kept,
                        body=await answer.read(),
                    )

            runner = web.ServerRunner(web.Server(pass_on, access_log=None))
            await runner.setup()
            await web.TCPSite(runner, host, port).start()
            await process.wait_for_stop()
            await runner.cleanup()

    os.environ["UV_USE_IO_URING"] = "0"
    with asyncio.Runner(loop_factory=loops.new_loop) as runner:
        runner.run(main())


if __name__ == "__main__":
    fire.Fire(serve)
