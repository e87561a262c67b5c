"""The receiving side of probes: tells the load, within the budget."""

from collections import abc

from aiohttp import web

from burdockdeal.configuration import state as configuration
from burdockdeal.core import codec
from burdockdeal.measurement import decisions
from burdockdeal.measurement import messages
from burdockdeal.measurement import prober
from burdockdeal.measurement import state
from burdockdeal.routing import state as routing


class Receiver:
    """Answers probes of the upstream beside this daemon.

    :param load: returns the load beside this daemon.
    :param incarnation: returns the upstream's incarnation.
    :param get_configuration: returns the configuration in force here.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self,
        peer_token: str,
        *,
        load: abc.Callable[[], routing.Report],
        incarnation: abc.Callable[[], int],
        get_configuration: abc.Callable[[], configuration.Configuration],
        clock: abc.Callable[[], float],
    ) -> None:
        self._size = prober.compute_probe_bytes(peer_token)
        self._load = load
        self._incarnation = incarnation
        self._get_configuration = get_configuration
        self._clock = clock
        self._ledger = state.Ledger()
        self.refused = 0

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Answer a probe, or refuse it beyond the budget."""
        budget = decisions.read_budget(self._get_configuration())
        ruling = decisions.charge(
            self._ledger,
            decisions.terms_of_receiver(budget),
            self._size,
            self._clock(),
        )
        self._ledger = ruling.ledger
        if not ruling.allowed:
            self.refused += 1
            return web.Response(status=429)
        answer = messages.Answer(self._incarnation(), self._load())
        return web.Response(
            body=codec.encode(answer), content_type="application/json"
        )
