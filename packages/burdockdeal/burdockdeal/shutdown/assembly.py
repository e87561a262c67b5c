"""Construction of the shutdown controller."""

import asyncio
from collections import abc

from burdockdeal.announce import api as announce
from burdockdeal.membership import messages as membership
from burdockdeal.membership import roster
from burdockdeal.serving import http_server
from burdockdeal.settings import model
from burdockdeal.shutdown import controller
from burdockdeal.shutdown import state


def make_controller(
    settings: model.Settings,
    tracker: announce.UpstreamTracker,
    local_roster: roster.Roster,
    fronts: abc.Sequence[http_server.PeerServer],
    count_key_runs: abc.Callable[[], int],
    stop_callers: abc.Callable[[], abc.Awaitable[None]],
    clock: abc.Callable[[], float],
) -> controller.ShutdownController:
    """Make the controller of a daemon's shutdown.

    :param fronts: the servers for callers and for other daemons.
    :param count_key_runs: returns the number of idempotency-key runs that
        are in progress.
    :param stop_callers: stops accepting connections of callers.
    """
    # Keeps a reference to each task, or it may be garbage-collected while
    # it runs.
    closing: set[asyncio.Future[None]] = set()

    def announce_leaving() -> None:
        local_roster.update_own(health=membership.Health.LEFT)

    def refuse_connections() -> None:
        closing.add(asyncio.ensure_future(stop_callers()))

    return controller.ShutdownController(
        state.Timeouts(settings.limits.linger_s, settings.limits.stop_limit_s),
        lambda: (
            count_key_runs() + sum(server.active_count for server in fronts)
        ),
        {
            state.Phase.LEAVING: (
                tracker.reject_new_calls,
                announce_leaving,
                *(server.begin_closing for server in fronts),
            ),
            state.Phase.FINISHING: (refuse_connections,),
        },
        clock,
    )
