"""What a daemon offers while its upstream is cold or its domain evacuated."""

import asyncio
import dataclasses
import json

import pytest

from burdockdeal.admission import state as admission
from burdockdeal.announce import decisions as announce
from burdockdeal.announce import messages
from burdockdeal.core import call
from burdockdeal.core import errors
from burdockdeal.core import verdict
from burdockdeal.daemon import components
from burdockdeal.evacuation import messages as evacuation
from burdockdeal.evacuation import placement
from burdockdeal.membership import messages as membership
from burdockdeal.platform import configuration
from burdockdeal.routing import selection
from burdockdeal.serving import header_codec
from burdockdeal.settings import model

SERVICE = "orders"
ADDRESSES = [model.Address("127.0.0.1", port) for port in range(1, 8)]


def build_daemon(rate: float = 5.5) -> components.Components:
    """Build a daemon of domain a, with another one in domain b."""
    shared = components.Components(
        model.Settings(
            daemon="a1",
            failure_domain="a",
            region="north",
            listen=model.Listen(*ADDRESSES[:4]),
            store=ADDRESSES[4],
            peer_token="x" * 16,
            deployment=model.Deployment(
                SERVICE, *ADDRESSES[5:], has_evacuations=True
            ),
        ),
        header_codec.DEFAULT,
    )
    document = {
        "version": "r1",
        "routes": [],
        "services": [{"name": SERVICE, "coldPerS": rate}],
    }
    shared.active_configuration.apply_snapshot(
        configuration.parse(json.dumps(document))
    )
    tracker = shared.upstream_tracker
    tracker.apply(
        messages.Announce(SERVICE, "127.0.0.1", 9, 1, slots=3, warm_up_s=60.0)
    )
    tracker.apply(messages.Heartbeat(1, echo=tracker.clock(), cold_ms=None))
    other = dataclasses.replace(
        shared.roster.own,
        daemon="b1",
        failure_domain="b",
        region="south",
    )
    shared.roster.merge_members([other])
    return shared


def evacuate(
    shared: components.Components, revision: int, *domains: str
) -> None:
    shared.evacuations.apply(
        evacuation.EvacuatedDomains(domains, revision), source="test"
    )


def list_domains(shared: components.Components) -> list[str]:
    members: tuple[membership.Member, ...] = shared.list_serving(SERVICE)
    assert members is shared.list_serving(SERVICE)
    return sorted(member.failure_domain for member in members)


def test_a_cold_upstream_offers_what_its_pace_keeps_busy() -> None:
    """More slots draw calls that are only refused."""
    shared = build_daemon()
    assert shared.compute_cold_s() == -1
    assert shared.build_load_report().slots == 1
    shared.upstream_tracker.apply(announce.ColdReport(1, 5000.0))
    assert 4 < shared.compute_cold_s() <= 5
    assert shared.build_load_report().slots == 1
    shared.upstream_tracker.apply(announce.ColdReport(1, 0.0))
    assert shared.compute_cold_s() == 0
    assert shared.build_load_report().slots == 3


def test_a_service_without_a_rate_has_no_pace() -> None:
    """The share of its slots grows as the announcement says, as before."""
    shared = build_daemon(rate=0.0)
    assert shared.compute_cold_s() == 0
    assert shared.build_load_report().slots == 1
    shared.upstream_tracker.apply(announce.ColdReport(1, 0.0))
    assert shared.build_load_report().slots == 1


def test_an_evacuation_that_ends_leaves_the_upstream_cold() -> None:
    """The upstream may have been restarted, unseen, in the meantime."""
    shared = build_daemon()
    shared.upstream_tracker.apply(announce.ColdReport(1, 0.0))
    assert list_domains(shared) == ["a", "b"]
    evacuate(shared, 5, "a")
    assert shared.is_evacuated()
    assert list_domains(shared) == ["b"]
    shared.upstream_tracker.apply(announce.ColdReport(1, 0.0))
    evacuate(shared, 4)
    assert shared.is_evacuated()
    evacuate(shared, 6)
    assert not shared.is_evacuated()
    assert list_domains(shared) == ["a", "b"]
    assert shared.compute_cold_s() == -1
    shared.upstream_tracker.apply(announce.ColdReport(1, 0.0))
    assert shared.compute_cold_s() == 0


async def test_calls_that_wait_are_refused_when_the_evacuation_starts() -> (
    None
):
    """At once, and not at their target."""
    shared = build_daemon(rate=0.0)
    policy = admission.RankPolicy("p1", 0, 1.0, 60.0, 0.0)

    async def hold() -> None:
        deadline = shared.clock() + 60.0
        async with shared.admission.hold_slot(policy, deadline):
            await asyncio.Event().wait()

    calls = [asyncio.ensure_future(hold()) for _ in range(5)]
    await asyncio.sleep(0)
    assert shared.admission.waiting == 2
    evacuate(shared, 5, "a")
    for waiting in calls[3:]:
        with pytest.raises(errors.NotRunError, match="evacuated"):
            await waiting
    for running in calls[:3]:
        running.cancel()


@pytest.mark.parametrize(
    ("evacuated", "regions", "reason"),
    [
        (("a",), (), None),
        (("a",), ("south",), None),
        (("a",), ("north",), verdict.Reason.NO_REGION),
        (("a", "b"), (), verdict.Reason.NO_INSTANCE),
        ((), ("east", "west"), verdict.Reason.NO_REGION),
        ((), ("east", "north"), None),
    ],
)
def test_a_call_that_no_instance_may_run_is_refused_before_its_body(
    evacuated: tuple[str, ...],
    regions: tuple[str, ...],
    reason: verdict.Reason | None,
) -> None:
    """The last domain of a service, or of a region, gets nothing either."""
    shared = build_daemon()
    evacuate(shared, 5, *evacuated)
    check = placement.make_placement_check(
        selection.make_instance_check(shared.list_serving), shared.evacuations
    )
    work = call.Call("r", SERVICE, "p1", 1e9, regions=frozenset(regions))
    if reason is None:
        check(work)
        return
    with pytest.raises(errors.NotRunError) as caught:
        check(work)
    assert caught.value.reason is reason
