"""The routing policies, as closures in one table."""

from collections import abc
import itertools
import random

from burdockdeal.routing import state

#: Choose one of the views, which are never empty.
Policy = abc.Callable[[abc.Sequence[state.View]], state.View]


def _load(view: state.View) -> tuple[float, int]:
    report = view.report
    reported = report.in_flight + report.waiting if report else 0
    return (max(reported, view.sent), view.sent)


def make_random(chance: random.Random) -> Policy:
    """Choose any instance."""
    return chance.choice


def make_round_robin(chance: random.Random) -> Policy:
    """Choose the instances in turn."""
    turns = itertools.count(chance.randrange(1 << 16))

    def choose(views: abc.Sequence[state.View]) -> state.View:
        return views[next(turns) % len(views)]

    return choose


def make_least_reported(chance: random.Random) -> Policy:
    """Choose the instance whose last report is the lowest."""

    def choose(views: abc.Sequence[state.View]) -> state.View:
        return min(
            views,
            key=lambda view: (
                view.report.in_flight if view.report else 0,
                chance.random(),
            ),
        )

    return choose


def make_two_choices(chance: random.Random) -> Policy:
    """Choose the less loaded of two instances taken at random."""

    def choose(views: abc.Sequence[state.View]) -> state.View:
        pair = chance.sample(views, min(2, len(views)))
        return min(pair, key=_load)

    return choose


POLICIES: dict[str, abc.Callable[[random.Random], Policy]] = {
    "random": make_random,
    "round_robin": make_round_robin,
    "least_reported": make_least_reported,
    "two_choices": make_two_choices,
    "hot_cold": make_two_choices,
}
