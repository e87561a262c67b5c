"""Scaling of bookings: memory and time of recorded sends and keys."""

import asyncio
from collections import abc
import contextlib
import itertools
import time

import multidict

from burdockdeal.bookings import deduplication
from burdockdeal.bookings import send_registry
from burdockdeal.bookings import state
from burdockdeal.core import call
from burdockdeal.serving import bodies
from burdockdeal.serving import messages
from burdockdeal.settings import model
from burdockdeal_bench.slopes import meter
from burdockdeal_bench.slopes import scaling

_SEND_COUNTS = (5_000, 10_000, 20_000, 40_000)
_KEY_COUNTS = (500, 1_000, 2_000, 4_000)
_ANSWER_BODY = b"." * 200
_RETENTION_S = 600.0


def _fill_ledger(count: int) -> send_registry.SendRegistry:
    sends = send_registry.SendRegistry(1, time.monotonic, limit=count)
    deadline = time.monotonic() + _RETENTION_S
    for number in range(count):
        sends.start(state.SendId(f"{number:016x}", 1), 1, deadline)
    return sends


class _SingleChunkContent:
    """A small response body that is read in one piece."""

    def __init__(self) -> None:
        self._remaining = _ANSWER_BODY

    async def readany(self) -> bytes:
        chunk, self._remaining = self._remaining, b""
        return chunk

    def at_eof(self) -> bool:
        return not self._remaining


@contextlib.asynccontextmanager
async def _open_fixed_response(
    send: messages.Send,
) -> abc.AsyncIterator[messages.Response]:
    headers = multidict.CIMultiDict({"Content-Length": str(len(_ANSWER_BODY))})
    yield messages.Response(200, "OK", headers, _SingleChunkContent())


def _make_send(number: int) -> messages.Send:
    return messages.Send(
        request=call.Call(
            request_id=f"{number:016x}",
            service="bookings",
            rank="booking",
            deadline=time.monotonic() + _RETENTION_S,
            idempotency_key=f"key-{number:016x}",
        ),
        outbound=messages.OutboundRequest(
            "POST",
            "/bookings",
            multidict.CIMultiDict(),
            bodies.Body(None, b"two rims", model.Limits()),
        ),
        daemon="d1",
        peer=model.Address("127.0.0.1", 1),
        incarnation=1,
        attempt=1,
    )


async def _call_with_keys(count: int) -> deduplication.Deduplicator:
    numbers = itertools.count(1)
    keyed_runs = deduplication.Deduplicator(
        _open_fixed_response,
        time.monotonic,
        lambda: f"{next(numbers):016x}",
        limit=count,
        retention_s=_RETENTION_S,
    )
    for number in range(count):
        async with keyed_runs.open_response(_make_send(number)) as answer:
            await answer.content.readany()
    return keyed_runs


BENCHMARKS = (
    scaling.Benchmark(
        "ledger-memory",
        "bytes",
        "send",
        _SEND_COUNTS,
        lambda count: meter.measure_bytes(lambda: _fill_ledger(count)),
    ),
    scaling.Benchmark(
        "ledger-start",
        "us",
        "send",
        _SEND_COUNTS,
        lambda count: meter.measure_us(lambda: _fill_ledger(count)),
    ),
    scaling.Benchmark(
        "key-memory",
        "bytes",
        "key with an answer of 200 bytes",
        _KEY_COUNTS,
        lambda count: meter.measure_bytes(
            lambda: asyncio.run(_call_with_keys(count))
        ),
    ),
)
