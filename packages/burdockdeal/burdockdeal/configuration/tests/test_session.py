"""Golden sessions: every call to the store and the result of each change."""

import asyncio
import dataclasses
import itertools
import random

from burdockdeal.configuration import active_configuration
from burdockdeal.configuration import repository
from burdockdeal.configuration import resources
from burdockdeal.configuration import state
from burdockdeal.configuration import writer
from burdockdeal.core import errors
from burdockdeal_standins import memory_store

CallOutcome = memory_store.CallOutcome


class Session:
    """Daemons and operators that share a store with injected faults.

    :param fates: the faults to inject, by the number of the call; all other
        calls succeed.
    """

    def __init__(self, fates: dict[int, CallOutcome]) -> None:
        self.fates = fates
        self.numbers = itertools.count(1)
        self.store = memory_store.MemoryStore(self.decide)
        self.lines: list[str] = []
        self.daemons: dict[
            str, tuple[active_configuration.ActiveConfiguration, writer.Append]
        ] = {}

    def decide(self, method: str, key: str) -> CallOutcome:
        number = next(self.numbers)
        fate = self.fates.get(number, CallOutcome.GOOD)
        self.lines.append(f"  {number:2} {method} {key} {fate}")
        return fate

    def append(self, daemon: str, request: writer.ChangeRequest) -> None:
        if daemon not in self.daemons:
            active = active_configuration.ActiveConfiguration()
            ids = itertools.count(1)
            log_store = repository.Repository(
                self.store,
                active,
                lambda: f"{daemon}-{next(ids)}",
                ring_size=3,
            )
            ticks = itertools.count()
            self.daemons[daemon] = (
                active,
                writer.make_append(
                    log_store,
                    active,
                    random.Random(1),
                    wall_ms=lambda: 1000,
                    clock=lambda: next(ticks) * 0.5,
                    forward=lambda changes: self.lines.append(
                        f"  {daemon} forwards "
                        + ", ".join(str(change.revision) for change in changes)
                    ),
                ),
            )
        active, append = self.daemons[daemon]
        self.lines.append(
            f"{request.operator} at {daemon}: {request.key} "
            f"{request.spec} if {request.expected}"
        )
        try:
            result: object = asyncio.run(append(request))
        except errors.BurdockdealError as error:
            result = f"{type(error).__name__}: {error}"
        self.lines.append(f"  -> {result}; {daemon} at {active.revision}")


def make_request(
    number: int, operator: str, expected: int | None, name: str = "katalog"
) -> writer.ChangeRequest:
    return writer.ChangeRequest(
        change_id=f"change-{number}",
        operator=operator,
        key=state.Key("Service", name),
        spec=resources.Service(queue_limit=number),
        expected=expected,
    )


def test_two_operators_and_lost_answers(snapshot) -> None:
    session = Session(
        {4: CallOutcome.LOST, 9: CallOutcome.LATE, 14: CallOutcome.STALE}
    )
    session.append("d1", make_request(1, "ada", 0))
    session.append("d2", make_request(2, "eve", 1))
    session.append("d1", make_request(3, "ada", 1))
    session.append("d1", make_request(4, "ada", 2))
    assert "\n".join(session.lines) == snapshot


def test_outage_and_recovery(snapshot) -> None:
    down = dict.fromkeys((5, 6), CallOutcome.DOWN)
    session = Session(down | dict.fromkeys(range(9, 40), CallOutcome.LATE))
    session.append("d1", make_request(1, "ada", 0))
    session.append("d1", make_request(2, "ada", 1))
    session.append("d1", make_request(2, "ada", 1))
    session.append("d2", make_request(3, "eve", 1))
    session.fates.clear()
    session.store.apply_late_writes()
    session.lines.append("delayed writes take effect")
    session.append("d2", make_request(4, "eve", 1))
    assert "\n".join(session.lines) == snapshot


def test_ring_wraps_around(snapshot) -> None:
    session = Session({})
    for number in range(1, 6):
        request = make_request(number, "ada", None, f"service-{number}")
        session.append("d1", request)
    deletion = dataclasses.replace(
        make_request(6, "ada", 1, "service-1"), spec=None, is_put=False
    )
    session.append("d2", deletion)
    assert "\n".join(session.lines) == snapshot
