"""Slopes of the decisions on a call: routing and admission."""

import asyncio
import time

from burdockdeal.admission import controller
from burdockdeal.admission import state
from burdockdeal.core import call
from burdockdeal.core import errors
from burdockdeal.daemon import parts
from burdockdeal.daemon import path
from burdockdeal.membership import messages
from burdockdeal.serving import header_codec
from burdockdeal.settings import model
from burdockdeal_bench.slopes import members
from burdockdeal_bench.slopes import meter
from burdockdeal_bench.slopes import slope

_INSTANCES = (10, 50, 100, 200, 400)
_WAITING = (50, 100, 200, 400)
_RANKS = (1, 2, 4, 8, 16)
_CALLS = 200
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
    """Time the choice of an instance among those of one service."""
    shared = parts.Parts(_make_settings(), header_codec.DEFAULT)
    shared.roster.merge_members(
        [
            _serve_one(member, number)
            for number, member in enumerate(members.make_members(count))
        ]
    )
    choose = path.make_choose(shared)
    work = call.Call("id", _SERVICE, "status", time.monotonic() + 10)
    none_tried: frozenset[str] = frozenset()
    return meter.measure_us(lambda: choose(work, none_tried), times=_CALLS)


def _serve_one(member: messages.Member, number: int) -> messages.Member:
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


def _make_terms(count: int) -> list[state.RankPolicy]:
    return [
        state.RankPolicy(f"rank-{index}", index, 1.0, 60.0, 0.5 / count)
        for index in range(count)
    ]


async def _pass_gate(count: int, ranks: int) -> float:
    """Let calls wait at a gate and run, each for a moment.

    :returns: microseconds of processor time for all of them.
    """
    room = state.Capacity(slots=_SLOTS, upload_slots=_SLOTS, queue_limit=count)
    slots = controller.AdmissionController(time.monotonic, lambda: room)
    terms = _make_terms(ranks)

    async def run(number: int) -> None:
        try:
            deadline = time.monotonic() + 60.0
            async with slots.hold_slot(terms[number % ranks], deadline):
                await asyncio.sleep(0)
        except errors.NotRunError as error:
            raise AssertionError(error.reason) from error

    began = time.process_time()
    await asyncio.gather(*map(run, range(count)))
    return (time.process_time() - began) * 1_000_000


def _measure_waiting(count: int) -> float:
    return min(asyncio.run(_pass_gate(count, 4)) for _ in range(3))


def _measure_ranks(count: int) -> float:
    return min(
        asyncio.run(_pass_gate(_CALLS, count)) / _CALLS for _ in range(3)
    )


SLOPES = (
    slope.Slope(
        "routing-choice", "us", "instance", _INSTANCES, _measure_choice
    ),
    slope.Slope(
        "admission-waiting", "us", "waiting call", _WAITING, _measure_waiting
    ),
    slope.Slope("admission-rank", "us", "rank", _RANKS, _measure_ranks),
)
