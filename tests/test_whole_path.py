"""The whole path, from a caller to an upstream and back."""

from burdockdeal_standins import fleet as standins


async def test_any_daemon_is_an_entry(small: standins.Fleet) -> None:
    for node in small.nodes.values():
        async with small.session.get(f"{node.caller_url}/jobs/7") as answer:
            text = await answer.text()
            assert answer.status == 200, text
            assert text == "bookings read 0 bytes\n"
            assert answer.headers["Burdockdeal-Verdict"] == "RAN"
            assert answer.headers["Burdockdeal-Request-Id"]


async def test_a_body_arrives_whole(small: standins.Fleet) -> None:
    url = small.nodes["d1"].caller_url + "/bookings"
    for size in (0, 10, 65_536, 1_000_000):
        async with small.session.post(url, data=b"x" * size) as answer:
            assert await answer.text() == f"bookings read {size} bytes\n"


async def test_one_request_id_in_every_process(small: standins.Fleet) -> None:
    url = small.nodes["d1"].caller_url + "/jobs/1"
    async with small.session.get(url) as answer:
        request_id = answer.headers["Burdockdeal-Request-Id"]
    records = [
        await small.read_upstream_record(small.nodes[name])
        for name in ("d2", "d3")
    ]
    runs = [run for record in records for run in record.runs]
    assert [run.request_id for run in runs] == [request_id]


async def test_no_rule_is_not_run(small: standins.Fleet) -> None:
    url = small.nodes["d1"].caller_url + "/"
    async with small.session.delete(url) as answer:
        assert answer.status == 404
        assert answer.headers["Burdockdeal-Verdict"] == "NOT_RUN"
        assert answer.headers["Burdockdeal-Reason"] == "NO_RULE"
