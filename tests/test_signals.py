"""Signals at each moment of a daemon's start and stop.

SIGHUP ended a daemon that was starting, since it was handled only once the
daemon served; a change of its settings file at that moment was missed.
"""

import asyncio
from collections import abc
import contextlib
import os
import pathlib
import signal
import sys

import pytest

from burdockdeal.core import codec
from burdockdeal.settings import model
from burdockdeal_standins import fleet as standins

#: Seconds from the first import of the daemon's code to the signal; a start
#: takes about a second.
_DELAYS_S = (0.0, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.0, 1.5)

_INTERVAL_S = 0.002

#: Runs the daemon, and says when it begins to import its code.
_PROGRAM = """
import sys

def report(event, arguments):
    if event == "import" and arguments[0] == "burdockdeal.daemon.main":
        print("starting", flush=True)

sys.addaudithook(report)
from burdockdeal.daemon import __main__
__main__.start()
"""


class _Daemon:
    """A daemon whose start a test observes."""

    def __init__(
        self,
        fleet: standins.Fleet,
        settings: model.Settings,
        process: asyncio.subprocess.Process,
    ) -> None:
        self.fleet = fleet
        self.settings = settings
        self.process = process
        self.output = b""

    async def wait_until_ready(self) -> None:
        await self.fleet.wait_for_port(
            self.settings.listen.caller.port, self.process
        )

    async def wait_until_ended(self) -> int:
        """Read the rest of the output and return the exit code."""
        async with asyncio.timeout(20):
            self.output += await self.process.stdout.read()
            return await self.process.wait()


def _find_settings_file(
    fleet: standins.Fleet, settings: model.Settings
) -> pathlib.Path:
    return fleet.folder / f"{settings.daemon}.json5"


@contextlib.asynccontextmanager
async def _start(
    fleet: standins.Fleet, name: str
) -> abc.AsyncIterator[_Daemon]:
    """Start a daemon; it imports its code by the time it is returned."""
    settings = fleet.make_settings(standins.NodeSpec(name, "a"))
    path = _find_settings_file(fleet, settings)
    path.write_bytes(codec.encode(settings))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        _PROGRAM,
        f"--settings={path}",
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    try:
        assert await process.stdout.readline() == b"starting\n"
        yield _Daemon(fleet, settings, process)
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


@pytest.mark.parametrize("delay_s", _DELAYS_S)
async def test_a_daemon_that_starts_takes_a_change_of_its_settings(
    fleet: standins.Fleet, delay_s: float
) -> None:
    async with _start(fleet, "d1") as daemon:
        await asyncio.sleep(delay_s)
        path = _find_settings_file(fleet, daemon.settings)
        path.write_text(path.read_text() + "\n// changed\n")
        daemon.process.send_signal(signal.SIGHUP)
        await daemon.wait_until_ready()
        await asyncio.sleep(0.3)
        daemon.process.send_signal(signal.SIGTERM)
        assert await daemon.wait_until_ended() == 0
    assert b"event=settings_reloaded" in daemon.output


@pytest.mark.parametrize("delay_s", _DELAYS_S)
async def test_a_daemon_that_starts_stops_as_planned(
    fleet: standins.Fleet, delay_s: float
) -> None:
    async with _start(fleet, "d1") as daemon:
        await asyncio.sleep(delay_s)
        daemon.process.send_signal(signal.SIGTERM)
        assert await daemon.wait_until_ended() == 0
    assert b"event=daemon_stopped" in daemon.output


async def test_a_daemon_that_stops_ignores_a_change_of_its_settings(
    fleet: standins.Fleet,
) -> None:
    """Up to its last moment, when its event loop is gone."""
    async with _start(fleet, "d1") as daemon:
        await daemon.wait_until_ready()
        daemon.process.send_signal(signal.SIGTERM)
        ended = asyncio.create_task(daemon.wait_until_ended())
        while not ended.done():
            with contextlib.suppress(ProcessLookupError):
                # The process object would also fetch the exit code, which
                # asyncio then waits for in vain.
                os.kill(daemon.process.pid, signal.SIGHUP)
            await asyncio.sleep(_INTERVAL_S)
        assert ended.result() == 0
