"""Request handlers and openers that enforce at-most-once execution."""

from collections import abc
import contextlib

from aiohttp import web

from burdockdeal.bookings import claim_store
from burdockdeal.bookings import decisions
from burdockdeal.bookings import deduplication
from burdockdeal.bookings import fencing
from burdockdeal.bookings import issued_keys
from burdockdeal.bookings import messages
from burdockdeal.bookings import send_registry
from burdockdeal.bookings import state
from burdockdeal.core import codec
from burdockdeal.core import errors
from burdockdeal.core import verdict
from burdockdeal.membership import messages as membership
from burdockdeal.serving import header_codec
from burdockdeal.serving import messages as serving
from burdockdeal.serving import targets

KEYS_PATH = "/burdockdeal/v1/keys"

#: Seconds to wait for the clock of the daemon that a new key names.
_CLOCK_TIMEOUT_S = 0.5

Handler = abc.Callable[[web.BaseRequest], abc.Awaitable[web.StreamResponse]]


def _build_response(message: object) -> web.Response:
    return web.Response(
        body=codec.encode(message), content_type="application/json"
    )


def make_peer_handlers(
    registry: send_registry.SendRegistry,
    incarnation: int,
    clock: abc.Callable[[], float],
) -> tuple[Handler, Handler]:
    """Build the handlers for other daemons' fences and clock queries.

    :param registry: the sends that this daemon has started or fenced.
    :param incarnation: this daemon's incarnation.
    :param clock: returns monotonic time in seconds.
    """

    async def handle_fence(request: web.BaseRequest) -> web.Response:
        fence = codec.decode(await request.read(), messages.Fence)
        return _build_response(registry.fence(fence))

    async def handle_clock(request: web.BaseRequest) -> web.Response:
        return _build_response(messages.Clock(incarnation, clock()))

    return handle_fence, handle_clock


def make_key_claimer(
    peer_token: str,
    own: messages.Holder,
    claims: claim_store.ClaimStore,
    get_deduplicator: abc.Callable[[], deduplication.Deduplicator],
    clock: abc.Callable[[], float],
    *,
    retention_s: float,
) -> abc.Callable[[serving.Send], abc.Awaitable[None]]:
    """Build the function that ensures that this daemon holds a call's key.

    It is called after the call has acquired its slot and before the call
    starts. It raises CallError if this daemon must not run the call.

    :param peer_token: the token that all daemons share.
    :param own: this daemon.
    :param claims: claims keys in the platform's store.
    :param get_deduplicator: returns the deduplicator, which is created after
        this function.
    :param clock: returns monotonic time in seconds.
    :param retention_s: seconds for which an issued key can be used.
    """

    def check_issued_key(issued: messages.IssuedKey) -> None:
        if issued.holder != own:
            raise errors.NotRunError(verdict.Reason.STALE_INSTANCE)
        if decisions.is_issued_key_expired(
            issued.issued_at, retention_s, clock()
        ):
            detail = "the key has expired"
            raise errors.MayHaveRunError(verdict.Reason.KEY_UNKNOWN, detail)

    async def claim_in_store(service: str, key: str) -> None:
        store_key = claim_store.build_store_key(service, key)
        try:
            action = await claims.claim_key(
                service, key, get_deduplicator().begin_claim(store_key)
            )
        except errors.KeyHeldError:
            get_deduplicator().end_claim(store_key, False)
            raise
        if action is state.ClaimAction.REPORT_UNKNOWN:
            raise errors.MayHaveRunError(verdict.Reason.KEY_UNKNOWN)
        get_deduplicator().end_claim(store_key, True)

    async def claim_key(send: serving.Send) -> None:
        key = send.request.idempotency_key
        if key is None or send.request.idempotent:
            return
        issued = issued_keys.decode_key(peer_token, key)
        if issued is not None:
            check_issued_key(issued)
        else:
            await claim_in_store(send.request.service, key)

    return claim_key


def make_deduplicating_opener(
    open_upstream: serving.OpenResponse,
    deduplicator: deduplication.Deduplicator,
    peer_token: str,
    own: messages.Holder,
) -> serving.OpenResponse:
    """Build an opener that deduplicates calls with an idempotency key.

    :param open_upstream: sends other calls to the upstream beside this
        daemon.
    :param deduplicator: runs the calls that have a key.
    :param peer_token: the token that all daemons share.
    :param own: this daemon.
    """

    def is_issued_for_this_daemon(key: str) -> bool:
        issued = issued_keys.decode_key(peer_token, key)
        return issued is not None and issued.holder == own

    @contextlib.asynccontextmanager
    async def open_deduplicated(
        send: serving.Send,
    ) -> abc.AsyncIterator[serving.Response]:
        async with contextlib.AsyncExitStack() as stack:
            try:
                response = await stack.enter_async_context(
                    deduplicator.open_response(send)
                )
            except errors.NotRunError as error:
                # No other daemon may run a key that names this one, so no
                # earlier send with the key ran either.
                key = send.request.idempotency_key or ""
                error.settled = error.settled or is_issued_for_this_daemon(key)
                raise
            yield response

    def open_response(
        send: serving.Send,
    ) -> contextlib.AbstractAsyncContextManager[serving.Response]:
        request = send.request
        has_key = (
            request.idempotency_key is not None and not request.idempotent
        )
        return (open_deduplicated if has_key else open_upstream)(send)

    return open_response


def make_key_issue_handler(
    peer_token: str,
    choose: abc.Callable[[str], membership.Member | None],
    read_clock: fencing.ReadClock,
    generate_id: abc.Callable[[], str],
    *,
    retention_s: float,
) -> Handler:
    """Build the handler that issues idempotency keys to callers.

    :param peer_token: the token that all daemons share.
    :param choose: chooses an instance of a service, None if there is none.
    :param read_clock: returns a lower bound of a daemon's clock in seconds.
    :param generate_id: returns ids that are unique in the fleet.
    :param retention_s: seconds for which an issued key can be used.
    """

    async def issue_key(service: str) -> messages.Grant:
        member = choose(service)
        if member is None:
            raise errors.NotRunError(verdict.Reason.NO_INSTANCE)
        issued = messages.IssuedKey(
            service=service,
            holder=messages.Holder(member.daemon, member.incarnation),
            issued_at=await read_clock(
                member.daemon,
                member.incarnation,
                member.peer,
                _CLOCK_TIMEOUT_S,
            ),
            nonce=generate_id(),
        )
        key = issued_keys.encode_key(peer_token, issued)
        return messages.Grant(key, service, retention_s)

    async def handle(request: web.BaseRequest) -> web.Response:
        try:
            path = targets.find_path(request.raw_path)
            if request.method != "POST" or path != KEYS_PATH:
                raise errors.NotRunError(verdict.Reason.NO_RULE)
            return _build_response(
                await issue_key(request.query.get("service", ""))
            )
        except errors.CallError as error:
            return header_codec.DEFAULT.build_error_response(
                error, generate_id()
            )

    return handle
