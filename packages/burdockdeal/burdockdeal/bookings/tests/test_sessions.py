"""Whole sessions of an owner: sends, fences, keys, resends."""

import asyncio
import contextlib
import dataclasses

import multidict

from burdockdeal.bookings import api
from burdockdeal.bookings import claim_store
from burdockdeal.bookings import deduplication
from burdockdeal.bookings import issued_keys
from burdockdeal.bookings import messages
from burdockdeal.bookings import send_registry
from burdockdeal.bookings import state
from burdockdeal.core import call
from burdockdeal.core import errors
from burdockdeal.core import verdict
from burdockdeal.platform import messages as platform
from burdockdeal.serving import bodies
from burdockdeal.serving import messages as serving
from burdockdeal.settings import model
from burdockdeal_standins import clocks

TOKEN = "a-token-of-the-tests"
OWN = messages.Holder("d1", 7)
PEER = model.Address("127.0.0.1", 1)


class Store:
    """The store's interface, in memory, with a fault to order."""

    def __init__(self) -> None:
        self.entries: dict[str, platform.Entry] = {}
        self.fault: errors.PlatformError | None = None
        self.calls: list[str] = []

    def _count(self, name: str) -> None:
        self.calls.append(name)
        if self.fault is not None:
            raise self.fault

    async def grant(self, ttl_s: float) -> platform.Lease:
        self._count("grant")
        return platform.Lease("lease", ttl_s)

    async def get(self, key: str) -> platform.Entry | None:
        self._count("get")
        return self.entries.get(key)

    async def put(self, key, value, *, version, lease="") -> int:
        self._count("put")
        if key in self.entries:
            raise errors.StoreConflictError(key, self.entries[key].version)
        self.entries[key] = platform.Entry(key, value, 1)
        return 1


class Owner:
    """An owner whose upstream does what it is told."""

    def __init__(self, store: Store, own: messages.Holder = OWN) -> None:
        self.clock = clocks.Clock()
        self.started: list[str] = []
        self.answer = b"soldered"
        self.failure: errors.CallError | None = None
        self.gate = asyncio.Event()
        self.gate.set()
        ids = iter(f"{own.daemon}-claim-{n}" for n in range(99))
        self.runs = deduplication.Deduplicator(
            self._open_upstream,
            self.clock,
            lambda: next(ids),
            limit=3,
            retention_s=60.0,
            max_stored_bytes=100_000,
        )
        self._prepare = api.make_key_claimer(
            TOKEN,
            own,
            claim_store.ClaimStore(
                store, own, self.clock, retention_s=60.0, per_second=99.0
            ),
            lambda: self.runs,
            self.clock,
            retention_s=60.0,
        )
        self.open_answer = api.make_deduplicating_opener(
            self._open_upstream, self.runs, TOKEN, own
        )

    @contextlib.asynccontextmanager
    async def _open_upstream(self, send: serving.Send):
        await self._prepare(send)
        if isinstance(self.failure, errors.NotRunError):
            raise self.failure
        self.started.append(send.request.request_id)
        await self.gate.wait()
        if self.failure is not None:
            raise self.failure
        yield serving.Response(
            200, "OK", multidict.CIMultiDict(), _Body(self.answer)
        )


class _Body:
    def __init__(self, body: bytes) -> None:
        self._chunks = [body]

    async def readany(self) -> bytes:
        return self._chunks.pop() if self._chunks else b""

    def at_eof(self) -> bool:
        return not self._chunks


def make_send(
    request_id: str, key: str | None, body: bytes = b"rims"
) -> serving.Send:
    return serving.Send(
        request=call.Call(
            request_id, "bookings", "booking", 110.0, idempotency_key=key
        ),
        outbound=serving.OutboundRequest(
            "POST",
            "/b",
            multidict.CIMultiDict(),
            bodies.Body(None, body, model.Limits()),
        ),
        daemon="d1",
        peer=PEER,
        incarnation=1,
        attempt=1,
        daemon_incarnation=7,
    )


async def tell(owner: Owner, send: serving.Send) -> str:
    """Send a call and put what came back into words."""
    try:
        async with owner.open_answer(send) as answer:
            body = b""
            while chunk := await answer.content.readany():
                body += chunk
            text = body.decode() if len(body) < 20 else f"{len(body)} bytes"
            return f"RAN {text}"
    except errors.CallError as error:
        settled = getattr(error, "settled", False)
        mark = " settled" if settled else ""
        return f"{error.outcome} {error.reason}{mark}"


def issue(now: float, holder: messages.Holder = OWN) -> str:
    issued = messages.IssuedKey("bookings", holder, now, "n1")
    return issued_keys.encode_key(TOKEN, issued)


async def test_a_session_of_keys(snapshot) -> None:
    store = Store()
    owner, other = Owner(store), Owner(store, messages.Holder("d2", 1))
    lines: list[str] = []

    async def note(who: Owner, *given) -> None:
        name = "d1" if who is owner else "d2"
        told = await tell(who, make_send(*given))
        key = given[1].split(".")[0] if given[1] else None
        lines.append(f"{name} {given[0]} key={key}: {told}")

    await note(owner, "first", "own-1")
    await note(owner, "resend", "own-1")
    await note(owner, "other body", "own-1", b"frames")
    await note(other, "resend elsewhere", "own-1")
    store.fault = errors.StoreUnavailableError("away")
    await note(other, "store away", "own-2")
    await note(other, "issued, store away", issue(100.0, OWN))
    await note(owner, "issued, store away", issue(100.0))
    store.fault = None
    owner.failure = errors.NotRunError(verdict.Reason.QUEUE_FULL)
    await note(owner, "no slot", "own-3")
    owner.failure = errors.MayHaveRunError(verdict.Reason.TIMED_OUT)
    await note(owner, "upstream lost", "own-3")
    owner.failure = None
    await note(owner, "resend of it", "own-3")
    lines.append(f"started: {owner.started} {other.started}")
    lines.append(f"store: {store.calls}")
    assert "\n".join(lines) == snapshot


async def test_expired_and_forged_keys() -> None:
    owner = Owner(Store())
    old = issue(100.0 - 60.0)
    told = await tell(owner, make_send("r", old))
    assert told == "MAY_HAVE_RUN KEY_UNKNOWN"
    for forged in (old[:-1] + "x", "bk1.x", old.replace("d1", "d2")):
        told = await tell(owner, make_send("r", forged))
        assert told == "NOT_RUN KEY_UNKNOWN"
    assert not owner.started
    assert issued_keys.decode_key(TOKEN, old) == messages.IssuedKey(
        "bookings", OWN, 40.0, "n1"
    )
    assert issued_keys.decode_key(TOKEN, "own-1") is None


async def test_resends_join_the_run() -> None:
    owner = Owner(Store())
    owner.gate.clear()
    asked = [
        asyncio.create_task(tell(owner, make_send(f"r{n}", "own-1")))
        for n in range(4)
    ]
    await asyncio.sleep(0.01)
    asked[0].cancel()
    owner.gate.set()
    told = await asyncio.gather(*asked[1:])
    assert told == ["RAN soldered"] * 3
    assert owner.started == ["r0"]


async def test_memory_is_bounded() -> None:
    owner = Owner(Store())
    owner.answer = b"x" * 60_000
    for n in range(3):
        told = await tell(owner, make_send(f"r{n}", f"own-{n}"))
        assert told == "RAN 60000 bytes"
    # The oldest answers went; their runs are remembered.
    told = [await tell(owner, make_send("r", f"own-{n}")) for n in range(3)]
    assert told == ["RAN ANSWER_GONE", "RAN ANSWER_GONE", "RAN 60000 bytes"]
    told = [await tell(owner, make_send("r", "own-9"))]
    assert told == ["NOT_RUN OVERLOADED"]
    assert len(owner.started) == 3
    # A key is forgotten after its claim has lapsed, not before.
    owner.clock.now += 180.0
    late = make_send("r", "own-9")
    late = dataclasses.replace(
        late, request=dataclasses.replace(late.request, deadline=999.0)
    )
    assert await tell(owner, late) == "RAN 60000 bytes"


def test_a_session_of_the_ledger(snapshot) -> None:
    clock = clocks.Clock()
    book = send_registry.SendRegistry(7, clock, limit=3)
    lines: list[str] = []

    def start(request_id: str, incarnation: int = 7) -> None:
        try:
            book.start(state.SendId(request_id, 1), incarnation, 110.0)
            told = "started"
        except errors.NotRunError as error:
            told = f"refused {error.reason}"
        lines.append(f"{clock.now} start {request_id}: {told}")

    def fence(request_id: str, incarnation: int = 7) -> None:
        ask = messages.Fence(request_id, 1, incarnation, 110.0)
        lines.append(f"{clock.now} fence {request_id}: {book.fence(ask).fate}")

    start("a")
    fence("a")
    fence("b")
    start("b")
    fence("b")
    start("c", 6)
    fence("c", 6)
    start("d")
    start("full")
    fence("full")
    clock.now = 110.0
    start("late")
    clock.now = 171.0
    fence("a")
    lines.append(f"remembered: {len(book)}")
    assert "\n".join(lines) == snapshot
