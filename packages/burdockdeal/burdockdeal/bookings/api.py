"""The interfaces of bookings: for callers, for peers, for the owner."""

from collections import abc
import contextlib

from aiohttp import web

from burdockdeal.bookings import claim_store
from burdockdeal.bookings import decisions
from burdockdeal.bookings import deduplication
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
from burdockdeal.settings import model

KEYS_PATH = "/burdockdeal/v1/keys"

Handler = abc.Callable[[web.BaseRequest], abc.Awaitable[web.StreamResponse]]


def _reply(message: object) -> web.Response:
    return web.Response(
        body=codec.encode(message), content_type="application/json"
    )


def make_peer_handlers(
    ledger: send_registry.SendRegistry,
    incarnation: int,
    clock: abc.Callable[[], float],
) -> tuple[Handler, Handler]:
    """Make the handlers of fences and of asks for the clock."""

    async def handle_fence(request: web.BaseRequest) -> web.Response:
        fence = codec.decode(await request.read(), messages.Fence)
        return _reply(ledger.fence(fence))

    async def handle_clock(request: web.BaseRequest) -> web.Response:
        return _reply(messages.Clock(incarnation, clock()))

    return handle_fence, handle_clock


def make_prepare(
    peer_token: str,
    own: messages.Holder,
    claims: claim_store.ClaimStore,
    runs: abc.Callable[[], deduplication.Deduplicator],
    clock: abc.Callable[[], float],
    *,
    retention_s: float,
) -> abc.Callable[[serving.Send], abc.Awaitable[None]]:
    """Make the function that makes a call's key this daemon's own.

    It is called when the call has its slot and before it starts.
    """

    def check_issued(issued: messages.IssuedKey) -> None:
        if issued.holder != own:
            raise errors.NotRunError(verdict.Reason.STALE_INSTANCE)
        if decisions.is_expired(issued.issued_at, retention_s, clock()):
            detail = "the key has expired"
            raise errors.MayHaveRunError(verdict.Reason.KEY_UNKNOWN, detail)

    async def claim(service: str, key: str) -> None:
        name = claim_store.build_store_key(service, key)
        try:
            step = await claims.claim_key(
                service, key, runs().note_claim(name)
            )
        except errors.KeyHeldError:
            runs().note_held(name, False)
            raise
        if step is state.ClaimAction.TELL_UNSURE:
            raise errors.MayHaveRunError(verdict.Reason.KEY_UNKNOWN)
        runs().note_held(name, True)

    async def prepare(send: serving.Send) -> None:
        key = send.request.idempotency_key
        if key is None or send.request.idempotent:
            return
        issued = issued_keys.decode_key(peer_token, key)
        if issued is not None:
            check_issued(issued)
        else:
            await claim(send.request.service, key)

    return prepare


def make_keyed_opener(
    open_owner: serving.OpenResponse,
    runs: deduplication.Deduplicator,
    peer_token: str,
    own: messages.Holder,
) -> serving.OpenResponse:
    """Make an opener that leads calls with a key through their runs."""

    def is_pinned_here(key: str) -> bool:
        issued = issued_keys.decode_key(peer_token, key)
        return issued is not None and issued.holder == own

    @contextlib.asynccontextmanager
    async def open_keyed(
        send: serving.Send,
    ) -> abc.AsyncIterator[serving.Response]:
        async with contextlib.AsyncExitStack() as stack:
            try:
                answer = await stack.enter_async_context(
                    runs.open_response(send)
                )
            except errors.NotRunError as error:
                # Only this daemon may run such a key, and it did not.
                key = send.request.idempotency_key or ""
                error.settled = error.settled or is_pinned_here(key)
                raise
            yield answer

    def open_answer(
        send: serving.Send,
    ) -> contextlib.AbstractAsyncContextManager[serving.Response]:
        request = send.request
        keyed = request.idempotency_key is not None and not request.idempotent
        return (open_keyed if keyed else open_owner)(send)

    return open_answer


def make_keys_handler(
    peer_token: str,
    choose: abc.Callable[[str], membership.Member | None],
    read_clock: abc.Callable[[str, int, model.Address], abc.Awaitable[float]],
    new_id: abc.Callable[[], str],
    *,
    retention_s: float,
) -> Handler:
    """Make the handler of callers' requests for keys.

    :param choose: chooses an instance of a service.
    """

    async def issue(service: str) -> messages.Grant:
        member = choose(service)
        if member is None:
            raise errors.NotRunError(verdict.Reason.NO_INSTANCE)
        issued = messages.IssuedKey(
            service=service,
            holder=messages.Holder(member.daemon, member.incarnation),
            issued_at=await read_clock(
                member.daemon, member.incarnation, member.peer
            ),
            nonce=new_id(),
        )
        key = issued_keys.encode_key(peer_token, issued)
        return messages.Grant(key, service, retention_s)

    async def handle(request: web.BaseRequest) -> web.Response:
        try:
            if request.method != "POST" or request.path != KEYS_PATH:
                raise errors.NotRunError(verdict.Reason.NO_RULE)
            return _reply(await issue(request.query.get("service", "")))
        except errors.CallError as error:
            return header_codec.DEFAULT.build_error_response(error, new_id())

    return handle
