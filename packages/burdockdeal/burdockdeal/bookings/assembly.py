"""Assembly of the parts of bookings for one daemon."""

from collections import abc
import secrets

import aiohttp
from aiohttp import web

from burdockdeal.bookings import api
from burdockdeal.bookings import claim_store
from burdockdeal.bookings import deduplication
from burdockdeal.bookings import fencing
from burdockdeal.bookings import messages
from burdockdeal.bookings import peer_clocks
from burdockdeal.bookings import pinning
from burdockdeal.bookings import send_registry
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


class AtMostOnceExecution:
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
        self._runs: deduplication.Deduplicator
        limits = settings.limits
        own = standing.own
        self._holder = messages.Holder(own.daemon, own.incarnation)
        self.peer_clocks = peer_clocks.PeerClocks(clock)
        self.peer_clocks.record(own.daemon, own.incarnation, clock())
        self.send_registry = send_registry.SendRegistry(own.incarnation, clock)
        store_claims = claim_store.ClaimStore(
            platform,
            self._holder,
            clock,
            retention_s=limits.key_retention_s,
            per_second=limits.claims_per_s,
        )
        self.pin_resolver = pinning.PinResolver(
            settings.peer_token, standing.find, store_claims.read_claim
        )
        self._ask_clock, self._ask_fate = fencing.make_peer_queries(
            control, settings.peer_token
        )
        fence, tell_clock = api.make_peer_handlers(
            self.send_registry, own.incarnation, clock
        )
        self.peer_handlers = {
            fencing.FENCE_PATH: fence,
            fencing.CLOCK_PATH: tell_clock,
        }
        self.claim_key = api.make_prepare(
            settings.peer_token,
            self._holder,
            store_claims,
            lambda: self._runs,
            clock,
            retention_s=limits.key_retention_s,
        )

    def deduplicate_keyed_calls(
        self, open_owner: serving.OpenResponse
    ) -> serving.OpenResponse:
        """Make the owner's opener remember the runs of keys."""
        limits = self._settings.limits
        self._runs = deduplication.Deduplicator(
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
    def active_count(self) -> int:
        """How many runs of keys are under way."""
        return self._runs.active_count

    def fence_lost_sends(
        self, open_remote: serving.OpenResponse
    ) -> serving.OpenResponse:
        """Make the opener of other daemons' answers ask after its sends."""
        return fencing.make_fencing_opener(
            open_remote,
            self.peer_clocks,
            self._ask_clock,
            self._ask_fate,
            self._clock,
        )

    def serve_key_requests(
        self, handle_entry: api.Handler, choose: Choose
    ) -> api.Handler:
        """Answer requests for keys beside the callers' own requests."""

        def choose_for(service: str) -> membership.Member | None:
            work = call.Call(_new_id(), service, "", self._clock())
            return choose(work, frozenset())

        handle_keys = api.make_keys_handler(
            self._settings.peer_token,
            choose_for,
            fencing.make_clock_reader(self.peer_clocks, self._ask_clock),
            _new_id,
            retention_s=self._settings.limits.key_retention_s,
        )

        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            own = request.path.startswith(_OWN_PATHS)
            return await (handle_keys if own else handle_entry)(request)

        return handle
