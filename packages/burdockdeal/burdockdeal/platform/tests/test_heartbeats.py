"""Heartbeats of the upstream beside a daemon."""

import json
import math

from aiohttp import test_utils
import pytest

from burdockdeal.announce import api as announce
from burdockdeal.announce import decisions
from burdockdeal.announce import state
from burdockdeal.platform import heartbeats
from burdockdeal.settings import model
from burdockdeal_standins import clocks

ADDRESS = model.Address("10.0.0.1", 80)
DEPLOYMENT = model.Deployment(
    service="orders", upstream=ADDRESS, metrics=model.Address("10.0.0.1", 81)
)
VALID = {
    "service": "orders",
    "address": "10.0.0.1:80",
    "zone": "here",
    "version": "v1",
    "slots": 9,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 4,
    "born": 1000,
}


@pytest.fixture
def tracker() -> announce.UpstreamTracker:
    return announce.UpstreamTracker(clocks.Clock(50.0))


@pytest.fixture
async def client(tracker: announce.UpstreamTracker):
    # The daemon has run for longer than its upstream.
    receiver = heartbeats.HeartbeatReceiver(
        tracker, DEPLOYMENT, is_confirmed=True
    )
    server = test_utils.TestServer(heartbeats.build_app(receiver))
    async with test_utils.TestClient(server) as client:
        yield client


async def put(client, name: str = "i-1", **changed: object) -> int:
    body = {**VALID, **changed}
    present = {key: value for key, value in body.items() if value is not None}
    answer = await client.put(f"/api/instances/{name}", json=present)
    return answer.status


async def test_a_heartbeat_puts_the_upstream_into_service(
    client, tracker
) -> None:
    assert await put(client) == 200
    assert tracker.may_start_call()
    assert tracker.upstream.announce.name == "i-1"
    assert tracker.upstream.incarnation == 1000


@pytest.mark.parametrize(
    "changed",
    [
        {"service": None},
        {"service": "bookings"},
        {"address": "10.0.0.9:80"},
        {"slots": "9"},
        {"slots": 0},
        {"state": "novel"},
        {"sequence": None},
        {"sequence": "four"},
        {"born": 1.5},
        {"born": 10**18},
        {"slots": 10**6},
        {"slots": 10**400},
        {"sequence": 10**30},
        {"coldRemainingMs": 1e300},
    ],
)
async def test_an_invalid_or_foreign_heartbeat_is_rejected(
    client, tracker, changed
) -> None:
    assert await put(client, **changed) == 400
    assert not tracker.may_start_call()
    assert await put(client, sequence=5) == 200
    assert tracker.may_start_call()


@pytest.mark.parametrize(
    "body",
    [
        b"\xff{",
        json.dumps(VALID)[:-1].encode()
        + b', "unknown": '
        + b"[" * 20_000
        + b"]" * 20_000
        + b"}",
    ],
)
async def test_a_body_that_cannot_be_decoded_is_rejected(
    client, tracker, body
) -> None:
    answer = await client.put("/api/instances/i-1", data=body)
    assert answer.status == 400
    assert not tracker.may_start_call()


async def test_a_draining_upstream_does_not_become_ready_again(
    client, tracker
) -> None:
    await put(client)
    assert await put(client, state="draining", sequence=6) == 200
    assert tracker.upstream.phase is state.Phase.DRAINING
    # The first of these was delayed on the way; the second was sent after a
    # late acknowledgement.
    assert await put(client, sequence=5) == 200
    assert await put(client, sequence=7) == 200
    assert not tracker.may_start_call()


async def test_a_late_heartbeat_does_not_revive_an_upstream_that_left(
    client, tracker
) -> None:
    await put(client)
    assert (await client.delete("/api/instances/i-1")).status == 200
    assert await put(client, sequence=9) == 200
    assert not tracker.may_start_call()
    assert await put(client, name="i-2", born=2000, sequence=0) == 200
    assert tracker.may_start_call()


async def test_an_older_incarnation_does_not_replace_a_newer_one(
    client, tracker
) -> None:
    await put(client, name="i-2", born=2000, sequence=0)
    assert await put(client, name="i-1", born=1000, sequence=99) == 200
    assert tracker.upstream.announce.name == "i-2"
    assert (await client.delete("/api/instances/i-1")).status == 200
    assert tracker.may_start_call()


async def test_an_upstream_may_restart_under_the_same_id(
    client, tracker
) -> None:
    await put(client, sequence=40)
    await client.delete("/api/instances/i-1")
    assert await put(client, born=3000, sequence=0) == 200
    assert tracker.may_start_call()
    assert tracker.upstream.incarnation == 3000


async def test_a_heartbeat_replaces_a_discovered_upstream(
    tracker,
) -> None:
    receiver = heartbeats.HeartbeatReceiver(tracker, DEPLOYMENT)
    receiver.record_discovered("i-1", 9)
    assert tracker.may_start_call()
    receiver.receive("i-1", make_heartbeat(3, born=None))
    assert tracker.may_start_call()
    assert tracker.upstream.announce.name == "i-1"


def make_heartbeat(sequence: int, **changed: object) -> heartbeats.Heartbeat:
    fields = {
        "service": "orders",
        "address": "10.0.0.1:80",
        "zone": "here",
        "version": "v1",
        "slots": 9,
        "state": "ready",
        "sequence": sequence,
        "cold_remaining_ms": 0.0,
        "born": 1000,
    }
    return heartbeats.Heartbeat(**{**fields, **changed})


@pytest.fixture
def restarted(
    tracker: announce.UpstreamTracker,
) -> heartbeats.HeartbeatReceiver:
    """Return the receiver of a daemon that has just been restarted."""
    return heartbeats.HeartbeatReceiver(tracker, DEPLOYMENT)


def test_a_late_heartbeat_after_a_restart_puts_nothing_into_service(
    restarted, tracker
) -> None:
    """The earlier run of the daemon has acknowledged that it leaves."""
    restarted.receive("i-1", make_heartbeat(5))
    assert not tracker.may_start_call()
    restarted.receive("i-1", make_heartbeat(7, state="draining"))
    assert tracker.upstream.phase is state.Phase.DRAINING
    restarted.record_discovered("i-1", 9)
    assert not tracker.may_start_call()


def test_a_departure_binds_although_the_upstream_was_not_known(
    restarted, tracker
) -> None:
    restarted.record_departure("i-1")
    for sequence in (5, 6, 7):
        restarted.receive("i-1", make_heartbeat(sequence))
    restarted.record_discovered("i-0", 9)
    assert tracker.upstream.announce.name == "i-0"


def test_a_departed_upstream_is_not_discovered(restarted, tracker) -> None:
    """Its health check may be wrong."""
    restarted.record_departure("i-1")
    restarted.record_discovered("i-1", 9)
    assert not tracker.may_start_call()


def test_an_upstream_is_confirmed_by_its_health_check(
    restarted, tracker
) -> None:
    restarted.receive("i-1", make_heartbeat(5))
    restarted.record_discovered("i-1", 9)
    assert tracker.may_start_call()
    assert tracker.upstream.incarnation == 1000


def test_an_upstream_is_confirmed_by_heartbeats_that_go_on(
    restarted, tracker
) -> None:
    """Two heartbeats in a row may both be late, one after the other.

    Guards against an upstream in service that has told the earlier run of
    the daemon that it leaves. It sends none that arrive after the lease.
    """
    restarted.receive("i-1", make_heartbeat(5))
    restarted.receive("i-1", make_heartbeat(4))
    restarted.receive("i-1", make_heartbeat(6))
    tracker.clock.now += DEPLOYMENT.lease_s - 1
    restarted.receive("i-1", make_heartbeat(7))
    assert not tracker.may_start_call()
    tracker.clock.now += 2
    restarted.receive("i-1", make_heartbeat(8))
    assert tracker.may_start_call()


def test_a_late_heartbeat_does_not_revive_a_discovered_upstream(
    restarted, tracker
) -> None:
    """Guards against requests at an upstream after its acknowledged leaving.

    The time of its start is not known from its health check, so that its own
    late heartbeats look like those of a newer start.
    """
    restarted.record_discovered("i-1", 9)
    assert tracker.may_start_call()
    restarted.record_departure("i-1")
    for sequence in (5, 6, 7):
        restarted.receive("i-1", make_heartbeat(sequence))
        assert not tracker.may_start_call()
    restarted.record_discovered("i-1", 9)
    assert not tracker.may_start_call()
    restarted.receive("i-2", make_heartbeat(0, born=2000))
    assert tracker.may_start_call()


def test_a_departure_binds_although_another_upstream_is_known(
    restarted, tracker
) -> None:
    """The heartbeats of the one that leaves are later than its leaving."""
    restarted.record_discovered("i-1", 9)
    restarted.receive("i-1", make_heartbeat(5))
    restarted.record_departure("i-2")
    restarted.receive("i-2", make_heartbeat(0, born=2000))
    assert tracker.upstream.announce.name == "i-1"
    assert tracker.may_start_call()


def test_a_discovered_upstream_may_start_again_under_its_id(
    restarted, tracker
) -> None:
    restarted.record_discovered("i-1", 9)
    restarted.record_departure("i-1")
    tracker.clock.now += DEPLOYMENT.lease_s + 1
    restarted.receive("i-1", make_heartbeat(1, born=3000))
    assert tracker.may_start_call()


def test_another_upstream_at_the_address_is_discovered(
    restarted, tracker
) -> None:
    """The late heartbeat came from the upstream that was there before."""
    restarted.receive("i-1", make_heartbeat(5))
    restarted.record_discovered("i-2", 9)
    assert tracker.upstream.announce.name == "i-2"
    restarted.receive("i-2", make_heartbeat(0, born=2000))
    assert tracker.upstream.incarnation == 2000
    assert tracker.may_start_call()


async def test_how_long_the_upstream_is_cold_outlives_announcements(
    client, tracker
) -> None:
    """Each heartbeat announces it again, and a health response is between."""
    now = tracker.clock()
    assert tracker.upstream.cold_until is None
    await put(client, coldRemainingMs=0)
    assert tracker.upstream.cold_until == now
    tracker.apply(decisions.ColdReport(1000, 4000.0))
    tracker.apply(tracker.upstream.announce)
    assert tracker.upstream.cold_until == now + 4
    tracker.apply(decisions.ColdReport(999, 0.0))
    await put(client, sequence=5, coldRemainingMs=2500)
    assert tracker.upstream.cold_until == now + 2.5
    # What lacks the field comes from another writer and changes nothing.
    missing = {"sequence": 6, "born": 1001, "coldRemainingMs": None}
    assert await put(client, **missing) == 400
    assert tracker.upstream.cold_until == now + 2.5
    await put(client, sequence=6, born=1001, coldRemainingMs=0)
    assert tracker.upstream.cold_until == now


def test_a_restarted_daemon_knows_no_cold_time_before_a_report(
    tracker,
) -> None:
    receiver = heartbeats.HeartbeatReceiver(tracker, DEPLOYMENT)
    receiver.record_discovered("i-1", 9)
    assert tracker.may_start_call()
    assert decisions.find_cold_end(tracker.upstream) == math.inf
    receiver.record_cold("i-0", 0.0)
    assert decisions.find_cold_end(tracker.upstream) == math.inf
    receiver.record_cold("i-1", 0.0)
    assert decisions.find_cold_end(tracker.upstream) == tracker.clock()
    tracker.apply(decisions.ColdUnknown())
    assert decisions.find_cold_end(tracker.upstream) == math.inf
