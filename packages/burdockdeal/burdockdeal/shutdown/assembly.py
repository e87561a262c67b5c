"""Assembly of a daemon's stop."""

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
    side: announce.UpstreamTracker,
    standing: roster.Roster,
    fronts: abc.Sequence[http_server.PeerServer],
    count_runs: abc.Callable[[], int],
    stop_callers: abc.Callable[[], abc.Awaitable[None]],
    clock: abc.Callable[[], float],
) -> controller.ShutdownController:
    """Make what stops a daemon.

    :param fronts: the servers of callers and of other daemons.
    :param count_runs: returns the runs of keys that are under way.
    :param stop_callers: takes no more connections of callers.
    """
    closing: set[asyncio.Future[None]] = set()

    def leave() -> None:
        side.reject_new_calls()
        standing.update_own(health=membership.Health.LEFT)
        for server in fronts:
            server.closing = True

    def refuse_connections() -> None:
        closing.add(asyncio.ensure_future(stop_callers()))

    return controller.ShutdownController(
        state.Terms(settings.limits.linger_s, settings.limits.stop_s),
        lambda: count_runs() + sum(server.active_count for server in fronts),
        {
            state.Phase.LEAVING: leave,
            state.Phase.FINISHING: refuse_connections,
        },
        clock,
    )
