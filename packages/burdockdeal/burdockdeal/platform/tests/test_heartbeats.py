"""What the worker beside a daemon says of itself."""

from aiohttp import test_utils
import pytest

from burdockdeal.announce import api as announce
from burdockdeal.announce import state
from burdockdeal.platform import heartbeats
from burdockdeal.settings import model
from burdockdeal_standins import clocks

ADDRESS = model.Address("10.0.0.1", 80)
DEPLOYMENT = model.Deployment(
    service="orders", upstream=ADDRESS, metrics=model.Address("10.0.0.1", 81)
)
GOOD = {
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
def side() -> announce.UpstreamTracker:
    return announce.UpstreamTracker(clocks.Clock(50.0))


@pytest.fixture
async def worker(side: announce.UpstreamTracker):
    beats = heartbeats.Heartbeats(side, DEPLOYMENT)
    server = test_utils.TestServer(heartbeats.build_app(beats))
    async with test_utils.TestClient(server) as client:
        yield client


async def put(worker, name: str = "i-1", **changed: object) -> int:
    body = {**GOOD, **changed}
    kept = {key: value for key, value in body.items() if value is not None}
    answer = await worker.put(f"/api/instances/{name}", json=kept)
    return answer.status


async def test_a_heartbeat_makes_the_upstream_serve(worker, side) -> None:
    assert await put(worker) == 200
    assert side.may_start_call()
    assert side.upstream.announce.name == "i-1"
    assert side.upstream.incarnation == 1000


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
    ],
)
async def test_what_another_writer_says_names_no_upstream(
    worker, side, changed
) -> None:
    assert await put(worker, **changed) == 400
    assert not side.may_start_call()
    assert await put(worker, sequence=5) == 200
    assert side.may_start_call()


async def test_bytes_that_are_no_json_are_refused(worker, side) -> None:
    answer = await worker.put("/api/instances/i-1", data=b"\xff{")
    assert answer.status == 400
    assert not side.may_start_call()


async def test_a_worker_that_drains_stays_so(worker, side) -> None:
    await put(worker)
    assert await put(worker, state="draining", sequence=6) == 200
    assert side.upstream.phase is state.Phase.DRAINING
    # Held up on the way, and from after a late acknowledgement.
    assert await put(worker, sequence=5) == 200
    assert await put(worker, sequence=7) == 200
    assert not side.may_start_call()


async def test_a_worker_that_is_gone_does_not_come_back(worker, side) -> None:
    await put(worker)
    assert (await worker.delete("/api/instances/i-1")).status == 200
    assert await put(worker, sequence=9) == 200
    assert not side.may_start_call()
    assert await put(worker, name="i-2", born=2000, sequence=0) == 200
    assert side.may_start_call()


async def test_an_old_start_does_not_replace_a_new_one(worker, side) -> None:
    await put(worker, name="i-2", born=2000, sequence=0)
    assert await put(worker, name="i-1", born=1000, sequence=99) == 200
    assert side.upstream.announce.name == "i-2"
    assert (await worker.delete("/api/instances/i-1")).status == 200
    assert side.may_start_call()


async def test_the_same_id_may_start_again(worker, side) -> None:
    await put(worker, sequence=40)
    await worker.delete("/api/instances/i-1")
    assert await put(worker, born=3000, sequence=0) == 200
    assert side.may_start_call()
    assert side.upstream.incarnation == 3000


async def test_a_worker_that_was_found_is_replaced_by_its_heartbeat(
    side,
) -> None:
    beats = heartbeats.Heartbeats(side, DEPLOYMENT)
    beats.learn("i-1", 9)
    assert side.may_start_call()
    beat = heartbeats.Heartbeat("orders", "10.0.0.1:80", 9, "ready", 3)
    beats.take("i-1", beat)
    assert side.may_start_call()
    assert side.upstream.announce.name == "i-1"
