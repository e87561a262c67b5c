"""A call that all near instances refuse as busy, with another region idle."""

import contextlib
import types

from burdockdeal.core import call
from burdockdeal.core import errors
from burdockdeal.core import verdict
from burdockdeal.retry import attempts
from burdockdeal.retry import budget as budgets
from burdockdeal_standins import clocks

_REGIONS = {"n1": "north", "n2": "north", "s1": "south"}
_OUTBOUND = types.SimpleNamespace(
    body=types.SimpleNamespace(is_streamed=False, is_replayable=True)
)


def make_member(daemon: str) -> types.SimpleNamespace:
    return types.SimpleNamespace(
        daemon=daemon, region=_REGIONS[daemon], upstream_incarnation=1
    )


async def list_sends(
    estimates_s: dict[str, float],
    refusal: verdict.Reason = verdict.Reason.BUSY,
    choices: list[str] | None = None,
) -> list[str]:
    """Send a call; near instances refuse to start it at once.

    :param estimates_s: the expected response time of each daemon, with the
        penalty of the way.
    :param choices: gets an item for each choice that is made.
    """
    sends = []

    def choose(work, tried):
        if choices is not None:
            choices.append("choice")
        untried = [name for name in estimates_s if name not in tried]
        if not untried:
            return None
        return make_member(min(untried, key=estimates_s.__getitem__))

    @contextlib.asynccontextmanager
    async def open_response(work, outbound, member, attempt, may_queue):
        sends.append(f"{member.daemon}{' queued' if may_queue else ''}")
        if member.region == "north" and not may_queue:
            raise errors.NotRunError(refusal)
        yield types.SimpleNamespace(status=200)

    clock = clocks.Clock()
    make_attempts = attempts.make_factory(
        choose=choose,
        open_response=open_response,
        budget=budgets.Budget(),
        clock=clock,
        region="north",
    )
    work = call.Call("r", "desk", "reads", clock() + 5.0, retry_tokens=2)
    async with make_attempts(work, _OUTBOUND).open():
        return sends


async def test_it_queues_at_home_if_that_is_sooner() -> None:
    """A body crosses to another region only for a call that gains by it."""
    sends = await list_sends({"n1": 0.3, "n2": 0.4, "s1": 0.5})
    assert sends == ["n1", "n2", "n1 queued"]


async def test_it_leaves_the_region_if_that_is_sooner() -> None:
    sends = await list_sends({"n1": 0.7, "n2": 0.8, "s1": 0.5})
    assert sends == ["s1"]
    sends = await list_sends({"n1": 0.4, "s1": 0.5, "n2": 0.8})
    assert sends == ["n1", "n1 queued"]


async def test_with_one_region_all_are_asked_before_it_queues() -> None:
    """Deployments of one region are served as before.

    Each choice counts towards the trial calls of ejected instances, so a
    refusal must not cost a second one.
    """
    choices: list[str] = []
    sends = await list_sends({"n1": 0.3, "n2": 0.4}, choices=choices)
    assert sends == ["n1", "n2", "n1 queued"]
    assert len(choices) == 4


async def test_an_instance_that_left_does_not_keep_it_at_home() -> None:
    """Only a refusal by a busy instance says that queueing there helps."""
    sends = await list_sends(
        {"n1": 0.3, "n2": 0.4, "s1": 0.5}, verdict.Reason.DRAINING
    )
    assert sends == ["n1", "n2", "s1"]
