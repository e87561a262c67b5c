"""Golden sessions: every call to the store, and how each change ended."""

import asyncio
import dataclasses
import itertools
import random

from burdockdeal.configuration import archive
from burdockdeal.configuration import resources
from burdockdeal.configuration import standing
from burdockdeal.configuration import state
from burdockdeal.configuration import writer
from burdockdeal.core import errors
from burdockdeal_standins import memory_store

Fate = memory_store.CallOutcome


class Session:
    """Daemons, operators and a store whose fates are given.

    :param fates: of the calls that are not good, by their number.
    """

    def __init__(self, fates: dict[int, Fate]) -> None:
        self.fates = fates
        self.numbers = itertools.count(1)
        self.store = memory_store.MemoryStore(self.decide)
        self.lines: list[str] = []
        self.daemons: dict[str, tuple[standing.Standing, writer.Append]] = {}

    def decide(self, method: str, key: str) -> Fate:
        number = next(self.numbers)
        fate = self.fates.get(number, Fate.GOOD)
        self.lines.append(f"  {number:2} {method} {key} {fate}")
        return fate

    def append(self, daemon: str, request: writer.Request) -> None:
        if daemon not in self.daemons:
            in_force = standing.Standing()
            ids = itertools.count(1)
            entries = archive.Archive(
                self.store, in_force, lambda: f"{daemon}-{next(ids)}", ring=3
            )
            ticks = itertools.count()
            self.daemons[daemon] = (
                in_force,
                writer.make_append(
                    entries,
                    in_force,
                    random.Random(1),
                    wall_ms=lambda: 1000,
                    clock=lambda: next(ticks) * 0.5,
                    pass_on=lambda changes: self.lines.append(
                        f"  {daemon} passes on "
                        + ", ".join(str(change.revision) for change in changes)
                    ),
                ),
            )
        in_force, append = self.daemons[daemon]
        self.lines.append(
            f"{request.operator} at {daemon}: {request.key} "
            f"{request.spec} if {request.expected}"
        )
        try:
            result: object = asyncio.run(append(request))
        except errors.BurdockdealError as error:
            result = f"{type(error).__name__}: {error}"
        self.lines.append(f"  -> {result}; {daemon} at {in_force.revision}")


def make_request(
    number: int, operator: str, expected: int | None, name: str = "katalog"
) -> writer.Request:
    return writer.Request(
        change_id=f"change-{number}",
        operator=operator,
        key=state.Key("Service", name),
        spec=resources.Service(queue_limit=number),
        expected=expected,
    )


def test_two_operators_and_lost_answers(snapshot) -> None:
    session = Session({4: Fate.LOST, 9: Fate.LATE, 14: Fate.STALE})
    session.append("d1", make_request(1, "ada", 0))
    session.append("d2", make_request(2, "eve", 1))
    session.append("d1", make_request(3, "ada", 1))
    session.append("d1", make_request(4, "ada", 2))
    assert "\n".join(session.lines) == snapshot


def test_an_outage_and_the_way_back(snapshot) -> None:
    down = dict.fromkeys((5, 6), Fate.DOWN)
    session = Session(down | dict.fromkeys(range(9, 40), Fate.LATE))
    session.append("d1", make_request(1, "ada", 0))
    session.append("d1", make_request(2, "ada", 1))
    session.append("d1", make_request(2, "ada", 1))
    session.append("d2", make_request(3, "eve", 1))
    session.fates.clear()
    session.store.apply_late_writes()
    session.lines.append("late writes land")
    session.append("d2", make_request(4, "eve", 1))
    assert "\n".join(session.lines) == snapshot


def test_the_ring_goes_round(snapshot) -> None:
    session = Session({})
    for number in range(1, 6):
        request = make_request(number, "ada", None, f"service-{number}")
        session.append("d1", request)
    gone = dataclasses.replace(
        make_request(6, "ada", 1, "service-1"), spec=None, is_put=False
    )
    session.append("d2", gone)
    assert "\n".join(session.lines) == snapshot
