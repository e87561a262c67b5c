"""The daemon's command."""

import asyncio
import gc
import signal
import sys

import fire

from burdockdeal.announce import decisions as announce
from burdockdeal.core import errors
from burdockdeal.core import event_log
from burdockdeal.daemon import assembly
from burdockdeal.daemon import loop
from burdockdeal.settings import loader
from burdockdeal.settings import model
from burdockdeal.settings import reload

_TICK_S = 0.1

EXIT_OK = 0
EXIT_CRASHED = 1
EXIT_SETTINGS = 2


async def _serve(settings: model.Settings, path: str) -> int:
    running = asyncio.get_running_loop()
    async with assembly.run_daemon(settings) as parts:
        for number in (signal.SIGTERM, signal.SIGINT):
            running.add_signal_handler(
                number, parts.shutdown_controller.request_stop
            )
        watch = reload.Reloader(
            path, settings, parts.replace_settings, parts.clock
        )
        running.add_signal_handler(signal.SIGHUP, watch.reload)
        event_log.record(
            "daemon_started",
            daemon=settings.daemon,
            failure_domain=settings.failure_domain,
            caller=settings.listen.caller,
        )
        # What stands now stays; only what comes later may be garbage.
        gc.freeze()
        gc.enable()
        while not parts.shutdown_controller.is_complete:
            parts.upstream_tracker.apply(announce.Tick())
            crash = parts.describe_crash()
            if crash is not None:
                # The platform replaces a daemon that ends; one that runs
                # on without a part of itself would mislead it.
                event_log.warn("daemon_crashed", reason=crash)
                return EXIT_CRASHED
            if parts.roster.is_superseded:
                # Another process runs under this name: give way to it,
                # and cut nothing.
                parts.shutdown_controller.stop_superseded()
            watch.poll()
            parts.shutdown_controller.tick()
            await asyncio.sleep(_TICK_S)
    event_log.record("daemon_stopped", daemon=settings.daemon)
    return EXIT_OK


def serve(settings: str, *, verbose: bool = False) -> int:
    """Run the daemon beside one upstream until SIGTERM.

    :param settings: the settings file, JSON with comments.
    :param verbose: log every request, not only the refused ones.
    """
    event_log.configure(verbose=verbose)
    try:
        checked = loader.load(settings)
    except errors.SettingsError as error:
        for fault in error.faults:
            print(f"{error.subject}: {fault}", file=sys.stderr)
        return EXIT_SETTINGS
    with asyncio.Runner(loop_factory=loop.new_loop) as runner:
        return runner.run(_serve(checked, settings))


def run() -> None:
    """Run the command."""
    sys.exit(fire.Fire(serve, name="burdockdeald", serialize=lambda _: ""))


if __name__ == "__main__":
    run()
