"""Running a test double as a process of its own."""

import asyncio
import signal

from aiohttp import web


async def wait_for_stop() -> None:
    """Wait until the process receives SIGTERM or SIGINT."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    await stopping.wait()


async def serve_app(app: web.Application, host: str, port: int) -> None:
    """Serve an application until the process receives SIGTERM or SIGINT."""
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    try:
        await web.TCPSite(runner, host, port).start()
        await wait_for_stop()
    finally:
        await runner.cleanup()
