"""Assembly of the parts of bookings for one daemon."""

from collections import abc
import secrets

import aiohttp
from aiohttp import web

from burdockdeal.bookings import api
from burdockdeal.bookings import claims
from burdockdeal.bookings import clocks
from burdockdeal.bookings import guard
from burdockdeal.bookings import ledger
from burdockdeal.bookings import messages
from burdockdeal.bookings import pinning
from burdockdeal.bookings import runs
from burdockdeal.core import call
from burdockdeal.membership import messages as membership
from burdockdeal.membership import roster
from burdockdeal.platform import store
from burdockdeal.serving import messages as serving
from burdockdeal.settings import model

Choose = abc.Callable[[call.Call, frozenset[str]], membership.Member | None]

#: Paths of burdockdeal's own at the callers' port.
_OWN_PATHS = "/burdockdeal/"


def _new_id() -> str:
    return secrets.token_hex(8)


class Bookings:
    """The parts of bookings of one daemon, made once and passed whole.

    :param control: the session for messages between daemons.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self,
        settings: model.Settings,
        standing: roster.Roster,
        platform: store.StoreClient,
        control: aiohttp.ClientSession,
        clock: abc.Callable[[], float],
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._runs: runs.Runs
        limits = settings.limits
        own = standing.own
        self._holder = messages.Holder(own.daemon, own.incarnation)
        self.clocks = clocks.Clocks(clock)
        self.clocks.note(own.daemon, own.incarnation, clock())
        self.ledger = ledger.Ledger(own.incarnation, clock)
        store_claims = claims.Claims(
            platform,
            self._holder,
            clock,
            retention_s=limits.key_retention_s,
            per_second=limits.claims_per_s,
        )
        self.pins = pinning.Pins(
            settings.peer_token, standing.find, store_claims.look
        )
        self._ask_clock, self._ask_fate = guard.make_asks(
            control, settings.peer_token
        )
        fence, tell_clock = api.make_peer_handlers(
            self.ledger, own.incarnation, clock
        )
        self.peer_handlers = {
            guard.FENCE_PATH: fence,
            guard.CLOCK_PATH: tell_clock,
        }
        self.prepare = api.make_prepare(
            settings.peer_token,
            self._holder,
            store_claims,
            lambda: self._runs,
            clock,
            retention_s=limits.key_retention_s,
        )

    def keep_runs(
        self, open_owner: serving.OpenResponse
    ) -> serving.OpenResponse:
        """Make the owner's opener remember the runs of keys."""
        limits = self._settings.limits
        self._runs = runs.Runs(
            open_owner,
            self._clock,
            _new_id,
            limit=limits.keys,
            retention_s=limits.key_retention_s,
        )
        return api.make_keyed_opener(
            open_owner, self._runs, self._settings.peer_token, self._holder
        )

    @property
    def active(self) -> int:
        """How many runs of keys are under way."""
        return self._runs.active

    def guard_sends(
        self, open_remote: serving.OpenResponse
    ) -> serving.OpenResponse:
        """Make the opener of other daemons' answers ask after its sends."""
        return guard.make_guarded_opener(
            open_remote,
            self.clocks,
            self._ask_clock,
            self._ask_fate,
            self._clock,
        )

    def answer_keys(
        self, handle_entry: api.Handler, choose: Choose
    ) -> api.Handler:
        """Answer requests for keys beside the callers' own requests."""

        def choose_for(service: str) -> membership.Member | None:
            work = call.Call(_new_id(), service, "", self._clock())
            return choose(work, frozenset())

        handle_keys = api.make_keys_handler(
            self._settings.peer_token,
            choose_for,
            guard.make_read_clock(self.clocks, self._ask_clock),
            _new_id,
            retention_s=self._settings.limits.key_retention_s,
        )

        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            own = request.path.startswith(_OWN_PATHS)
            return await (handle_keys if own else handle_entry)(request)

        return handle
