"""The burdockdeald command."""

import asyncio
from collections import abc
import gc
import sys

import fire

from burdockdeal.announce import decisions as announce
from burdockdeal.core import errors
from burdockdeal.core import event_log
from burdockdeal.daemon import assembly
from burdockdeal.daemon import components as daemon_components
from burdockdeal.daemon import loop
from burdockdeal.daemon import signals
from burdockdeal.settings import loader
from burdockdeal.settings import model
from burdockdeal.settings import reload
from burdockdeal.shutdown import controller

#: Seconds between two checks of leases, services, settings and the stop; the
#: shorter interval applies during a stop.
_TICK_INTERVAL_S = 0.25
_STOP_TICK_INTERVAL_S = 0.1

#: Objects allocated between two runs of the garbage collector. Few objects are
#: part of reference cycles, so that fewer runs keep little memory longer.
_GC_THRESHOLD = 10_000

EXIT_OK = 0
EXIT_CRASHED = 1
EXIT_INVALID_SETTINGS = 2


def _check_daemon(
    components: daemon_components.Components, reloader: reload.Reloader
) -> None:
    """Check leases, the name of this daemon and its settings file."""
    components.upstream_tracker.apply(announce.Tick())
    if components.roster.is_superseded:
        # Another process runs under this daemon's name: stop in its favour,
        # without aborting any request.
        components.shutdown_controller.stop_superseded()
    reloader.poll()


async def _run_until_stopped(
    components: daemon_components.Components, reloader: reload.Reloader
) -> None:
    """Check the daemon and its services until a shutdown is complete."""
    stop = components.shutdown_controller
    while not stop.is_complete:
        try:
            _check_daemon(components, reloader)
        except Exception as error:
            stop.fail(controller.describe_failure("checks", error))
        for failure in components.list_failures():
            stop.fail(failure)
        stop.tick()
        await asyncio.sleep(
            _STOP_TICK_INTERVAL_S if stop.is_stopping else _TICK_INTERVAL_S
        )


async def _serve(
    settings: model.Settings,
    file: reload.SettingsFile,
    receiver: signals.SignalReceiver,
) -> int:
    event_loop = asyncio.get_running_loop()
    async with assembly.run_daemon(settings) as components:
        reloader = reload.Reloader(
            file, settings, components.replace_settings, components.clock
        )
        request_stop = components.shutdown_controller.request_stop
        receiver.handle_on(
            event_loop.call_soon_threadsafe,
            {
                **dict.fromkeys(signals.STOP_SIGNALS, request_stop),
                signals.RELOAD_SIGNAL: reloader.reload,
            },
        )
        event_log.record(
            "daemon_started",
            daemon=settings.daemon,
            failure_domain=settings.failure_domain,
            caller=settings.listen.caller,
        )
        # Objects that exist by now live as long as the process, so the
        # collector need not scan them.
        gc.freeze()
        gc.set_threshold(_GC_THRESHOLD)
        gc.enable()
        await _run_until_stopped(components, reloader)
        receiver.keep()
    event_log.record("daemon_stopped", daemon=settings.daemon)
    has_failed = components.shutdown_controller.has_failed
    return EXIT_CRASHED if has_failed else EXIT_OK


def _make_command(
    receiver: signals.SignalReceiver,
) -> abc.Callable[..., int]:
    def serve(settings: str, *, verbose: bool = False) -> int:
        """Run the daemon beside one upstream until SIGTERM or SIGINT.

        :param settings: path of the settings file, JSON with comments.
        :param verbose: log every request, not only the refused ones.
        """
        event_log.configure(verbose=verbose)
        file = reload.SettingsFile(settings)
        try:
            checked = loader.load(settings)
        except errors.SettingsError as error:
            for fault in error.faults:
                print(f"{error.subject}: {fault}", file=sys.stderr)
            return EXIT_INVALID_SETTINGS
        if receiver.is_stop_requested:
            event_log.record("daemon_stopped", daemon=checked.daemon)
            return EXIT_OK
        with asyncio.Runner(loop_factory=loop.new_loop) as runner:
            return runner.run(_serve(checked, file, receiver))

    return serve


def run(receiver: signals.SignalReceiver) -> None:
    """Run the command and exit with its code.

    :param receiver: has received the signals since the process started.
    """
    command = _make_command(receiver)
    code = fire.Fire(command, name="burdockdeald", serialize=lambda _: "")
    receiver.ignore()
    sys.exit(code)
