"""Assembly of at-most-once execution for one daemon."""

from collections import abc
import random
import secrets

import aiohttp
from aiohttp import web

from burdockdeal.bookings import api
from burdockdeal.bookings import claim_keeper
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
from burdockdeal.serving import targets
from burdockdeal.settings import model

#: Chooses an instance for a call, leaving out the daemons in the set.
Choose = abc.Callable[[call.Call, frozenset[str]], membership.Member | None]

#: Prefix of the paths that burdockdeal itself serves at the callers' port.
_OWN_PATH_PREFIX = "/burdockdeal/"


def _generate_id() -> str:
    return secrets.token_hex(8)


class AtMostOnceExecution:
    """The components of at-most-once execution of one daemon.

    :param settings: the daemon's settings.
    :param members: the members of the fleet.
    :param platform: client of the platform's store.
    :param control: HTTP client for messages between daemons.
    :param clock: returns monotonic time in seconds.
    :param rng: spreads what the daemons write again after a restore of the
        store.
    """

    def __init__(
        self,
        settings: model.Settings,
        members: roster.Roster,
        platform: store.StoreClient,
        control: aiohttp.ClientSession,
        clock: abc.Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._deduplicator: deduplication.Deduplicator
        limits = settings.limits
        own = members.own
        self._own_holder = messages.Holder(own.daemon, own.incarnation)
        self.peer_clocks = peer_clocks.PeerClocks(clock)
        self.peer_clocks.record(own.daemon, own.incarnation, clock())
        self.send_registry = send_registry.SendRegistry(own.incarnation, clock)
        claims = claim_store.ClaimStore(
            platform,
            self._own_holder,
            clock,
            retention_s=limits.key_retention_s,
            per_second=limits.claims_per_s,
        )
        self.pin_resolver = pinning.PinResolver(
            settings.peer_token, members.find, claims.read_claim
        )
        self._query_clock, self._query_fate = fencing.make_peer_queries(
            control, settings.peer_token, clock
        )
        handle_fence, handle_clock = api.make_peer_handlers(
            self.send_registry, own.incarnation, clock
        )
        self.peer_handlers = {
            fencing.FENCE_PATH: handle_fence,
            fencing.CLOCK_PATH: handle_clock,
        }
        self.claim_keeper = claim_keeper.ClaimKeeper(
            platform,
            claims,
            lambda: self._deduplicator.list_live_claims(),
            rng,
        )
        self.claim_key = api.make_key_claimer(
            settings.peer_token,
            self._own_holder,
            claims,
            lambda: self._deduplicator,
            clock,
            retention_s=limits.key_retention_s,
        )

    def deduplicate_keyed_calls(
        self, open_upstream: serving.OpenResponse
    ) -> serving.OpenResponse:
        """Wrap the opener for the upstream so that it deduplicates calls.

        Must be called once, before the first call is handled.

        :param open_upstream: sends a call to the upstream beside this
            daemon.
        """
        limits = self._settings.limits
        self._deduplicator = deduplication.Deduplicator(
            open_upstream,
            self._clock,
            _generate_id,
            limit=limits.keys,
            retention_s=limits.key_retention_s,
        )
        return api.make_deduplicating_opener(
            open_upstream,
            self._deduplicator,
            self._settings.peer_token,
            self._own_holder,
        )

    @property
    def active_count(self) -> int:
        """Number of calls with an idempotency key that are running."""
        return self._deduplicator.active_count

    def fence_lost_sends(
        self, open_remote: serving.OpenResponse
    ) -> serving.OpenResponse:
        """Wrap the opener for other daemons so that it fences lost sends.

        :param open_remote: sends a call to another daemon.
        """
        return fencing.make_fencing_opener(
            open_remote,
            self.peer_clocks,
            self._query_clock,
            self._query_fate,
            self._clock,
        )

    def serve_key_requests(
        self, handle_entry: api.Handler, choose: Choose
    ) -> api.Handler:
        """Wrap the handler of callers' requests so that it issues keys too.

        :param handle_entry: handles the requests that are not for
            burdockdeal itself.
        :param choose: chooses the instance that a key names.
        """

        def choose_for_service(service: str) -> membership.Member | None:
            work = call.Call(_generate_id(), service, "", self._clock())
            return choose(work, frozenset())

        handle_key_request = api.make_key_issue_handler(
            self._settings.peer_token,
            choose_for_service,
            fencing.make_clock_reader(self.peer_clocks, self._query_clock),
            _generate_id,
            retention_s=self._settings.limits.key_retention_s,
        )

        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            path = targets.find_path(request.raw_path)
            is_own_path = path.startswith(_OWN_PATH_PREFIX)
            return await (handle_key_request if is_own_path else handle_entry)(
                request
            )

        return handle
