"""Assembly of a daemon's stop."""

import asyncio
from collections import abc

from burdockdeal.announce import api as announce
from burdockdeal.membership import messages as membership
from burdockdeal.membership import roster
from burdockdeal.serving import http_server
from burdockdeal.settings import model
from burdockdeal.shutdown import state
from burdockdeal.shutdown import stopping


def make_stopping(
    settings: model.Settings,
    side: announce.Side,
    standing: roster.Roster,
    fronts: abc.Sequence[http_server.PeerServer],
    count_runs: abc.Callable[[], int],
    stop_callers: abc.Callable[[], abc.Awaitable[None]],
    clock: abc.Callable[[], float],
) -> stopping.Stopping:
    """Make what stops a daemon.

    :param fronts: the servers of callers and of other daemons.
    :param count_runs: returns the runs of keys that are under way.
    :param stop_callers: takes no more connections of callers.
    """
    closing: set[asyncio.Future[None]] = set()

    def leave() -> None:
        side.close()
        standing.declare(health=membership.Health.LEFT)
        for server in fronts:
            server.closing = True

    def refuse_connections() -> None:
        closing.add(asyncio.ensure_future(stop_callers()))

    return stopping.Stopping(
        state.Terms(settings.limits.linger_s, settings.limits.stop_s),
        lambda: count_runs() + sum(server.active_count for server in fronts),
        {
            state.Phase.LEAVING: leave,
            state.Phase.FINISHING: refuse_connections,
        },
        clock,
    )
