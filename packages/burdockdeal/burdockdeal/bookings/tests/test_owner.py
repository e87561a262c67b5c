"""Sequences of sends, fences, keys and resends at an owner daemon."""

import asyncio
import contextlib
import dataclasses

import multidict
import pytest

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
    """In-memory store that raises `fault`, if it is set, on each call."""

    def __init__(self) -> None:
        self.entries: dict[str, platform.Entry] = {}
        self.fault: errors.PlatformError | None = None
        self.calls: list[str] = []
        self.era = 0

    def on_new_era(self, listener) -> None:
        """Ignore the listener: the tests set the era themselves."""

    @property
    def absent_version(self) -> platform.Version:
        return platform.Version(self.era, 0)

    def _record_call(self, name: str) -> None:
        self.calls.append(name)
        if self.fault is not None:
            raise self.fault

    async def grant(self, ttl_s: float) -> platform.Lease:
        self._record_call("grant")
        return platform.Lease("lease", ttl_s, self.era)

    async def get(self, key: str) -> platform.Entry | None:
        self._record_call("get")
        return self.entries.get(key)

    async def put(self, key, value, *, version, lease="") -> int:
        self._record_call("put")
        if key in self.entries:
            raise errors.StoreConflictError(key, self.entries[key].version)
        self.entries[key] = platform.Entry(
            key, value, platform.Version(self.era, 1)
        )
        return self.entries[key].version


class Owner:
    """Owner daemon whose upstream returns or raises what a test sets.

    The upstream does not respond before `may_respond` is set.
    """

    def __init__(self, store: Store, own: messages.Holder = OWN) -> None:
        self.clock = clocks.Clock()
        self.started: list[str] = []
        self.body = b"soldered"
        self.error: errors.CallError | None = None
        self.may_respond = asyncio.Event()
        self.may_respond.set()
        ids = iter(f"{own.daemon}-claim-{n}" for n in range(99))
        self.deduplicator = deduplication.Deduplicator(
            self._open_upstream,
            self.clock,
            lambda: next(ids),
            limit=3,
            retention_s=60.0,
            max_stored_bytes=100_000,
        )
        self.claims = claim_store.ClaimStore(
            store, own, self.clock, retention_s=60.0, per_second=99.0
        )
        self._claim_key = api.make_key_claimer(
            TOKEN,
            own,
            self.claims,
            lambda: self.deduplicator,
            self.clock,
            retention_s=60.0,
        )
        self.open_response = api.make_deduplicating_opener(
            self._open_upstream, self.deduplicator, TOKEN, own
        )

    @contextlib.asynccontextmanager
    async def _open_upstream(self, send: serving.Send):
        await self._claim_key(send)
        if isinstance(self.error, errors.NotRunError):
            raise self.error
        self.started.append(send.request.request_id)
        await self.may_respond.wait()
        if self.error is not None:
            raise self.error
        yield serving.Response(
            200, "OK", multidict.CIMultiDict(), _BodyReader(self.body)
        )


class _BodyReader:
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


async def describe_outcome(owner: Owner, send: serving.Send) -> str:
    """Send a call and return its outcome as text."""
    try:
        async with owner.open_response(send) as response:
            body = b""
            while chunk := await response.content.readany():
                body += chunk
            text = body.decode() if len(body) < 20 else f"{len(body)} bytes"
            return f"RAN {text}"
    except errors.CallError as error:
        settled = getattr(error, "settled", False)
        suffix = " settled" if settled else ""
        return f"{error.outcome} {error.reason}{suffix}"


def issue_key(now: float, holder: messages.Holder = OWN) -> str:
    issued = messages.IssuedKey("bookings", holder, now, "n1")
    return issued_keys.encode_key(TOKEN, issued)


async def test_keys_and_resends(snapshot) -> None:
    store = Store()
    owner, other = Owner(store), Owner(store, messages.Holder("d2", 1))
    lines: list[str] = []

    async def send(target: Owner, *arguments) -> None:
        name = "d1" if target is owner else "d2"
        outcome = await describe_outcome(target, make_send(*arguments))
        key = arguments[1].split(".")[0] if arguments[1] else None
        lines.append(f"{name} {arguments[0]} key={key}: {outcome}")

    await send(owner, "first", "own-1")
    await send(owner, "resend", "own-1")
    await send(owner, "other body", "own-1", b"frames")
    await send(other, "resend elsewhere", "own-1")
    store.fault = errors.StoreUnavailableError("away")
    await send(other, "store away", "own-2")
    await send(other, "issued, store away", issue_key(100.0, OWN))
    await send(owner, "issued, store away", issue_key(100.0))
    store.fault = None
    owner.error = errors.NotRunError(verdict.Reason.QUEUE_FULL)
    await send(owner, "no slot", "own-3")
    owner.error = errors.MayHaveRunError(verdict.Reason.TIMED_OUT)
    await send(owner, "upstream lost", "own-3")
    owner.error = None
    await send(owner, "resend of it", "own-3")
    lines.append(f"started: {owner.started} {other.started}")
    lines.append(f"store: {store.calls}")
    assert "\n".join(lines) == snapshot


async def test_expired_and_forged_keys() -> None:
    owner = Owner(Store())
    expired = issue_key(100.0 - 60.0)
    outcome = await describe_outcome(owner, make_send("r", expired))
    assert outcome == "MAY_HAVE_RUN KEY_UNKNOWN"
    for forged in (expired[:-1] + "x", "bk1.x", expired.replace("d1", "d2")):
        outcome = await describe_outcome(owner, make_send("r", forged))
        assert outcome == "NOT_RUN KEY_UNKNOWN"
    assert not owner.started
    assert issued_keys.decode_key(TOKEN, expired) == messages.IssuedKey(
        "bookings", OWN, 40.0, "n1"
    )
    assert issued_keys.decode_key(TOKEN, "own-1") is None


async def test_resends_join_a_run_in_progress() -> None:
    owner = Owner(Store())
    owner.may_respond.clear()
    tasks = [
        asyncio.create_task(
            describe_outcome(owner, make_send(f"r{n}", "own-1"))
        )
        for n in range(4)
    ]
    await asyncio.sleep(0.01)
    tasks[0].cancel()
    owner.may_respond.set()
    outcomes = await asyncio.gather(*tasks[1:])
    assert outcomes == ["RAN soldered"] * 3
    assert owner.started == ["r0"]


async def test_stored_responses_and_keys_are_bounded() -> None:
    owner = Owner(Store())
    owner.body = b"x" * 60_000
    for n in range(3):
        outcome = await describe_outcome(owner, make_send(f"r{n}", f"own-{n}"))
        assert outcome == "RAN 60000 bytes"
    # The two oldest responses were evicted, but the keys are still recorded.
    outcomes = [
        await describe_outcome(owner, make_send("r", f"own-{n}"))
        for n in range(3)
    ]
    assert outcomes == [
        "RAN ANSWER_GONE",
        "RAN ANSWER_GONE",
        "RAN 60000 bytes",
    ]
    outcomes = [await describe_outcome(owner, make_send("r", "own-9"))]
    assert outcomes == ["NOT_RUN OVERLOADED"]
    assert len(owner.started) == 3
    # The record of a key expires only after its claim has lapsed.
    owner.clock.now += 180.0
    resend = make_send("r", "own-9")
    resend = dataclasses.replace(
        resend, request=dataclasses.replace(resend.request, deadline=999.0)
    )
    assert await describe_outcome(owner, resend) == "RAN 60000 bytes"


def restore(store: Store, era: int) -> None:
    """Let the store come back without any claim."""
    store.entries.clear()
    store.era = era


async def test_a_key_whose_claim_was_lost_runs_once() -> None:
    """Guards against a second run at a daemon that finds no claim."""
    store = Store()
    first, second = Owner(store), Owner(store, messages.Holder("d2", 1))
    assert (await describe_outcome(first, make_send("r1", "own-1")))[:3] == (
        "RAN"
    )
    restore(store, 1)
    resend = make_send("r2", "own-1")
    refused = "NOT_RUN CLAIM_UNAVAILABLE"
    assert await describe_outcome(second, resend) == refused
    with pytest.raises(errors.NotRunError):
        await second.claims.read_claim("bookings", "own-1")
    (claim,) = first.deduplicator.list_live_claims()
    await first.claims.reassert(*claim)
    held = await second.claims.read_claim("bookings", "own-1")
    assert held.holder == OWN
    assert await describe_outcome(first, resend) == "RAN soldered"
    assert not second.started


async def test_claims_open_one_retention_time_after_a_restore() -> None:
    """Guards against daemons that wait again after each start."""
    store = Store()
    restore(store, 1)
    owner = Owner(store)
    send = make_send("r", "own-1")
    send = dataclasses.replace(
        send, request=dataclasses.replace(send.request, deadline=999.0)
    )
    refused = "NOT_RUN CLAIM_UNAVAILABLE"
    assert await describe_outcome(owner, send) == refused
    owner.clock.now += 59.0
    assert await describe_outcome(owner, send) == refused
    owner.clock.now += 1.0
    assert await describe_outcome(owner, send) == "RAN soldered"
    started = Owner(store, messages.Holder("d2", 1))
    assert await describe_outcome(started, make_send("r", "own-2")) == (
        "RAN soldered"
    )
    restore(store, 2)
    assert await describe_outcome(started, make_send("r", "own-3")) == refused


def test_starts_and_fences(snapshot) -> None:
    clock = clocks.Clock()
    registry = send_registry.SendRegistry(7, clock, limit=3)
    lines: list[str] = []

    def start(request_id: str, incarnation: int = 7) -> None:
        try:
            registry.start(state.SendId(request_id, 1), incarnation, 110.0)
            outcome = "started"
        except errors.NotRunError as error:
            outcome = f"refused {error.reason}"
        lines.append(f"{clock.now} start {request_id}: {outcome}")

    def fence(request_id: str, incarnation: int = 7) -> None:
        query = messages.Fence(request_id, 1, incarnation, 110.0)
        lines.append(
            f"{clock.now} fence {request_id}: {registry.fence(query).fate}"
        )

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
    lines.append(f"recorded: {len(registry)}")
    assert "\n".join(lines) == snapshot
