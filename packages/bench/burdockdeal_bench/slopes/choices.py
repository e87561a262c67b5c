"""Scaling of the decisions on a call: routing and admission."""

import asyncio
import time

from burdockdeal.admission import controller
from burdockdeal.admission import state
from burdockdeal.core import call
from burdockdeal.core import errors
from burdockdeal.daemon import components
from burdockdeal.daemon import request_handlers
from burdockdeal.membership import messages
from burdockdeal.serving import header_codec
from burdockdeal.settings import model
from burdockdeal_bench.slopes import members
from burdockdeal_bench.slopes import meter
from burdockdeal_bench.slopes import scaling

_INSTANCE_COUNTS = (10, 50, 100, 200, 400)
_WAITING_COUNTS = (50, 100, 200, 400)
_RANK_COUNTS = (1, 2, 4, 8, 16)
_CALL_COUNT = 200
_SLOTS = 9
_SERVICE = "service-0000"


def _make_settings() -> model.Settings:
    address = model.Address("127.0.0.1", 9_000)
    return model.Settings(
        daemon="daemon-own",
        failure_domain="domain-00",
        listen=model.Listen(address, address, address, address),
        store=address,
        peer_token="token-of-the-slopes",
        operators=(),
        seed=1,
    )


def _measure_choice(count: int) -> float:
    """Measure how long it takes to choose one of a service's instances.

    :returns: microseconds of processor time per choice.
    """
    daemon_parts = components.Components(
        _make_settings(), header_codec.DEFAULT
    )
    daemon_parts.roster.merge_members(
        [
            _with_service(member, number)
            for number, member in enumerate(members.make_members(count))
        ]
    )
    choose = request_handlers.make_instance_chooser(daemon_parts)
    request = call.Call("id", _SERVICE, "status", time.monotonic() + 10)
    tried: frozenset[str] = frozenset()
    return meter.measure_us(
        lambda: choose(request, tried), iterations=_CALL_COUNT
    )


def _with_service(member: messages.Member, number: int) -> messages.Member:
    return messages.Member(
        daemon=member.daemon,
        failure_domain=f"domain-{number % 3:02d}",
        region="local",
        peer=member.peer,
        incarnation=member.incarnation,
        service=_SERVICE,
        phase=member.phase,
        upstream_incarnation=member.upstream_incarnation,
        slots=_SLOTS,
    )


def _make_policies(count: int) -> list[state.RankPolicy]:
    return [
        state.RankPolicy(f"rank-{index}", index, 1.0, 60.0, 0.5 / count)
        for index in range(count)
    ]


async def _run_through_controller(count: int, ranks: int) -> float:
    """Pass calls through an admission controller; each yields once.

    :param count: number of calls, all admitted or queued.
    :param ranks: number of ranks over which they are spread.
    :returns: microseconds of processor time for all calls.
    """
    capacity = state.Capacity(
        slots=_SLOTS, upload_slots=_SLOTS, queue_limit=count
    )
    admission = controller.AdmissionController(
        time.monotonic, lambda: capacity
    )
    policies = _make_policies(ranks)

    async def run_call(number: int) -> None:
        try:
            deadline = time.monotonic() + 60.0
            async with admission.hold_slot(policies[number % ranks], deadline):
                await asyncio.sleep(0)
        except errors.NotRunError as error:
            raise AssertionError(error.reason) from error

    started = time.process_time()
    await asyncio.gather(*map(run_call, range(count)))
    return (time.process_time() - started) * 1_000_000


def _measure_waiting(count: int) -> float:
    return min(
        asyncio.run(_run_through_controller(count, 4)) for _ in range(3)
    )


def _measure_ranks(count: int) -> float:
    return min(
        asyncio.run(_run_through_controller(_CALL_COUNT, count)) / _CALL_COUNT
        for _ in range(3)
    )


BENCHMARKS = (
    scaling.Benchmark(
        "routing-choice", "us", "instance", _INSTANCE_COUNTS, _measure_choice
    ),
    scaling.Benchmark(
        "admission-waiting",
        "us",
        "waiting call",
        _WAITING_COUNTS,
        _measure_waiting,
    ),
    scaling.Benchmark(
        "admission-rank", "us", "rank", _RANK_COUNTS, _measure_ranks
    ),
)
