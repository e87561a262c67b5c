"""The receiving side of probes: responds with the load, within a budget."""

from collections import abc

from aiohttp import web

from burdockdeal.configuration import state as configuration
from burdockdeal.core import codec
from burdockdeal.core import load_report
from burdockdeal.measurement import decisions
from burdockdeal.measurement import messages
from burdockdeal.measurement import prober
from burdockdeal.measurement import state


class Receiver:
    """Responds to other daemons' probes of the upstream beside this one.

    :param load: returns the load of the upstream.
    :param incarnation: returns the upstream's incarnation.
    :param get_configuration: returns the configuration in force.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self,
        peer_token: str,
        *,
        load: abc.Callable[[], load_report.LoadReport],
        incarnation: abc.Callable[[], int],
        get_configuration: abc.Callable[[], configuration.Configuration],
        clock: abc.Callable[[], float],
    ) -> None:
        self._size = prober.compute_probe_bytes(peer_token)
        self._load = load
        self._incarnation = incarnation
        self._get_configuration = get_configuration
        self._clock = clock
        self._window = state.CostWindow()
        self.refused = 0

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Respond to a probe, with status 429 if it exceeds the budget."""
        budget = decisions.get_budget(self._get_configuration())
        result = decisions.try_spend(
            self._window,
            decisions.get_receiver_limits(budget),
            self._size,
            self._clock(),
        )
        self._window = result.window
        if not result.allowed:
            self.refused += 1
            return web.Response(status=429)
        response = messages.ProbeResponse(self._incarnation(), self._load())
        return web.Response(
            body=codec.encode(response), content_type="application/json"
        )
