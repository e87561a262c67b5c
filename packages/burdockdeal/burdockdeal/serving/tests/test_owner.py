"""Late copies of responses whose upstream names the request in them.

Runs the owner's side against a raw upstream, with the headers of the users'
platform.
"""

from collections import abc
import contextlib
import dataclasses
import types

import multidict
import pytest

from burdockdeal.admission import state as admission
from burdockdeal.bookings import send_registry
from burdockdeal.configuration import resources
from burdockdeal.core import call
from burdockdeal.core import errors
from burdockdeal.core import verdict
from burdockdeal.measurement import breaker
from burdockdeal.measurement import meter
from burdockdeal.platform import headers
from burdockdeal.retry import running
from burdockdeal.serving import bodies
from burdockdeal.serving import forwarding
from burdockdeal.serving import messages
from burdockdeal.serving import owner
from burdockdeal.settings import model
from burdockdeal.workspaces import state as workspaces
from burdockdeal_standins import clocks
from burdockdeal_standins import raw_upstream

_HEADER_BYTES = 16_384
_RANK = "tracking"
_RANKS = {_RANK: resources.Rank(0, 100.0, 500.0, 0.2)}
_ADDRESS = model.Address("127.0.0.1", 1)
_SETTINGS = types.SimpleNamespace(
    deployment=types.SimpleNamespace(service="orders")
)


def build_response(request_id: str, body: str, *, refusal: bool) -> bytes:
    status = "503 Busy\r\nNot-Executed: 1" if refusal else "200 OK"
    return (
        f"HTTP/1.1 {status}\r\nAttempt-Id: {request_id}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


async def read_id(reader) -> str:
    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
    return head.split("attempt-id: ")[1].split("\r\n")[0]


class _Slots:
    """Admits every call at once, and keeps the ranks of all."""

    is_busy = False
    running = 0
    waiting = 0

    def __init__(self) -> None:
        self.ranks: list[str] = []

    @contextlib.asynccontextmanager
    async def hold_slot(self, policy: admission.RankPolicy, *args, **kwargs):
        self.ranks.append(policy.name)
        yield lambda: None


class _Refresher:
    async def refresh(self) -> None:
        """Query nothing."""


async def _prepare(send: messages.Send) -> None:
    """Prepare nothing."""


def build_opener(
    port: int,
    sessions: owner.UpstreamSessions,
    is_evacuated: abc.Callable[[], bool] = lambda: False,
    ranks: abc.Mapping[str, resources.Rank] = _RANKS,
    slots: _Slots | None = None,
) -> messages.OpenResponse:
    clock = clocks.Clock()
    announced = types.SimpleNamespace(
        service="orders", host="127.0.0.1", port=port, name="i-1"
    )
    tracker = types.SimpleNamespace(
        may_start_call=lambda: True,
        upstream=types.SimpleNamespace(
            incarnation=1, announce=announced, phase="SERVING"
        ),
        apply=lambda event: None,
    )
    configuration = types.SimpleNamespace(
        revision=0,
        workspaces=workspaces.EMPTY_INDEX,
        ranks=ranks,
    )
    return owner.make_upstream_opener(
        tracker,
        slots or _Slots(),
        sessions,
        lambda: configuration,
        clock,
        send_registry.SendRegistry(1, clock),
        _prepare,
        meter.Meter(clock),
        _Refresher(),
        headers.make_dialect(_SETTINGS),
        breaker.CircuitBreaker(clock),
        running.RunningCalls(),
        is_evacuated,
    )


def make_send(request_id: str, attempt: int = 1) -> messages.Send:
    deadline = clocks.Clock().now + 5.0
    return messages.Send(
        request=call.Call(request_id, "orders", _RANK, deadline),
        outbound=messages.OutboundRequest(
            "POST",
            "/",
            multidict.CIMultiDict({"Attempt-Id": request_id}),
            bodies.Body(None, b"", model.Limits()),
        ),
        daemon="d1",
        peer=_ADDRESS,
        incarnation=1,
        attempt=attempt,
        daemon_incarnation=1,
    )


@contextlib.asynccontextmanager
async def run_owner(is_evacuated: abc.Callable[[], bool] = lambda: False):
    async with (
        raw_upstream.run_upstream() as upstream,
        forwarding.build_session(_HEADER_BYTES) as pooled,
        forwarding.build_session(_HEADER_BYTES, single_use=True) as single_use,
    ):
        sessions = owner.UpstreamSessions(pooled, single_use)
        yield upstream, build_opener(upstream.port, sessions, is_evacuated)


async def run(open_response: messages.OpenResponse, send) -> str:
    async with open_response(send) as response:
        return (await response.content.readany()).decode()


async def test_a_call_is_sent_again_on_a_connection_of_its_own() -> None:
    """The copy of its refusal has its id, and arrives while it runs."""

    async def handle(reader, writer) -> None:
        is_first = upstream.connections == 1
        while True:
            request_id = await read_id(reader)
            if is_first:
                for _ in range(2):
                    writer.write(build_response(request_id, "", refusal=True))
                    request_id = await read_id(reader)
            writer.write(build_response(request_id, "ran", refusal=False))

    async with run_owner() as (upstream, open_response):
        upstream.handler = handle
        with pytest.raises(errors.NotRunError):
            await run(open_response, make_send("a"))
        assert await run(open_response, make_send("a", attempt=2)) == "ran"
        assert upstream.connections == 2


async def test_a_refusal_keeps_its_connection_for_other_calls() -> None:
    async def handle(reader, writer) -> None:
        while True:
            request_id = await read_id(reader)
            refusal = request_id.startswith("refused")
            writer.write(build_response(request_id, "", refusal=refusal))

    async with run_owner() as (upstream, open_response):
        upstream.handler = handle
        for number in range(3):
            with pytest.raises(errors.NotRunError):
                await run(open_response, make_send(f"refused{number}"))
            await run(open_response, make_send(f"ran{number}"))
        assert upstream.connections == 1


@pytest.mark.parametrize("refusal", [False, True])
@pytest.mark.parametrize("named", [False, True])
async def test_a_copy_costs_one_call_at_most(
    refusal: bool, named: bool
) -> None:
    """A copy that arrives after the next request is not its response.

    The true response follows the copy, so it must not reach the call after
    that either.
    """

    async def handle(reader, writer) -> None:
        first = await read_id(reader)
        response = build_response(first, first, refusal=False)
        writer.write(response)
        second = await read_id(reader)
        copy = build_response(first if named else "", first, refusal=refusal)
        if not named:
            copy = copy.replace(b"Attempt-Id: \r\n", b"")
        writer.write(copy)
        await writer.drain()
        while True:
            writer.write(build_response(second, second, refusal=False))
            second = await read_id(reader)

    async def serve(reader, writer) -> None:
        if upstream.connections == 1:
            await handle(reader, writer)
        while True:
            request_id = await read_id(reader)
            writer.write(build_response(request_id, request_id, refusal=False))

    async with run_owner() as (upstream, open_response):
        upstream.handler = serve
        assert await run(open_response, make_send("a")) == "a"
        with pytest.raises(errors.LostResponseError) as caught:
            await run(open_response, make_send("b"))
        assert caught.value.outcome is not verdict.Verdict.NOT_RUN
        for name in ("c", "d"):
            assert await run(open_response, make_send(name)) == name


@pytest.mark.parametrize("checks", [(True,), (False, True)])
async def test_nothing_is_sent_once_the_domain_is_evacuated(
    checks: tuple[bool, ...],
) -> None:
    """The second begins while the call waits for its slot or a claim."""
    async with run_owner(iter(checks).__next__) as (upstream, open_response):
        with pytest.raises(errors.NotRunError) as caught:
            await run(open_response, make_send("a"))
        assert caught.value.reason is verdict.Reason.EVACUATED
        assert not upstream.connections


@pytest.mark.parametrize(
    ("rank", "urgency", "expected"),
    [
        ("p2", 2, "p2"),
        ("p1", 1, "p0"),
        ("p3", 3, "p4"),
        ("p9", 9, "p4"),
        ("old", None, "p4"),
    ],
)
async def test_a_call_of_an_unknown_rank_has_the_nearest_one(
    rank: str, urgency: int | None, expected: str
) -> None:
    """While a priority changes, the entry may know a rank that is new here.

    Such calls were refused for good, with 400.
    """
    ranks = {
        f"p{each}": resources.Rank(each, 100.0, 500.0) for each in (0, 2, 4)
    }
    if rank != "p2":
        del ranks["p2"]
    slots = _Slots()
    async with (
        raw_upstream.run_upstream() as upstream,
        forwarding.build_session(_HEADER_BYTES) as session,
    ):
        sessions = owner.UpstreamSessions(session, session)
        open_response = build_opener(
            upstream.port, sessions, ranks=ranks, slots=slots
        )

        async def answer(reader, writer) -> None:
            request_id = await read_id(reader)
            writer.write(build_response(request_id, "ok", refusal=False))

        upstream.handler = answer
        send = make_send("a1")
        send = dataclasses.replace(
            send,
            request=dataclasses.replace(
                send.request, rank=rank, urgency=urgency
            ),
        )
        async with open_response(send) as response:
            assert response.status == 200
    assert slots.ranks == [expected]
