"""HTTP on the whole path, byte by byte: caller, entry, owner, upstream."""

import asyncio
import contextlib

import conftest
import pytest

from burdockdeal_standins import fleet as standins
from burdockdeal_standins import ports
from burdockdeal_standins import raw_http
from burdockdeal_standins import scripted_upstream


async def test_answers_without_a_body(stage: raw_http.Harness) -> None:
    raw = b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\nX-A: 1\r\n\r\n"
    stage.respond_to_all(raw)
    async with stage.connect(
        raw_http.GET_REQUEST.replace(b"GET", b"HEAD", 1)
    ) as line:
        head = await line.read_head()
        assert head.values("Content-Length") == ["7"]
        stage.respond_to_all(raw_http.OK_RESPONSE)
        line.writer.write(raw_http.GET_REQUEST)
        # Nothing between the head of the first answer and the second.
        assert (await line.read_response())[1] == b"ok"
    for status in (b"204 No Content", b"304 Not Modified"):
        stage.respond_to_all(b"HTTP/1.1 " + status + b"\r\nETag: x\r\n\r\n")
        async with stage.connect(
            raw_http.GET_REQUEST + raw_http.GET_REQUEST
        ) as line:
            for _ in range(2):
                head = await line.read_head()
                assert head.start_line.encode() == b"HTTP/1.1 " + status
                assert head.values("ETag") == ["x"]
                assert not head.values("Transfer-Encoding")
    stage.respond_to_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    async with stage.connect(raw_http.GET_REQUEST) as line:
        assert (await line.read_response())[1] == b""


async def test_headers_end_to_end_and_not(stage: raw_http.Harness) -> None:
    heads = stage.respond_to_all(
        b"HTTP/1.1 200 OK\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\n"
        b"Connection: x-hop\r\nX-Hop: 1\r\nContent-Length: 2\r\n\r\nok"
    )
    async with stage.connect(
        b"GET /a%20b?q=%C3 HTTP/1.1\r\nHost: here\r\nX-Many: 1\r\nX-Many: 2"
        b"\r\nConnection: x-one\r\nConnection: x-two\r\nX-One: 1\r\n"
        b"X-Two: 2\r\nTE: trailers\r\nBurdockdeal-Request-Id: mine\r\n\r\n"
    ) as line:
        answer, _ = await line.read_response()
    assert answer.values("Set-Cookie") == ["a=1", "b=2"]
    assert not answer.values("X-Hop")
    assert heads[0].start_line == "GET /a%20b?q=%C3 HTTP/1.1"
    assert heads[0].values("X-Many") == ["1", "2"]
    assert heads[0].values("Host") == ["here"]
    for name in ("X-One", "X-Two", "TE"):
        assert not heads[0].values(name), name
    ids = heads[0].values("Burdockdeal-Request-Id")
    assert ids == answer.values("Burdockdeal-Request-Id") != ["mine"]


async def test_chunks_both_ways(stage: raw_http.Harness) -> None:
    seen = []

    async def talk(reader, writer) -> None:
        head = await scripted_upstream.read_head(reader)
        body = b""
        while not body.endswith(b"0\r\n\r\n"):
            body += await reader.read(65536)
        seen.append((head, body))
        writer.write(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"
        )
        await asyncio.sleep(0.1)
        writer.write(b"1\r\nc\r\n0\r\nX-Trailer: 1\r\n\r\n")
        await reader.read()

    stage.upstream.handler = talk
    async with stage.connect(
        b"POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
        b"\r\n3\r\nabc\r\n0\r\nX-Sum: 1\r\n\r\n"
    ) as line:
        head = await line.read_head()
        assert head.values("Transfer-Encoding") == ["chunked"]
        body = await line.reader.readuntil(b"0\r\n\r\n")
        # A trailer may be dropped; aiohttp drops it.
        assert body == b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
    assert seen[0][1] == b"3\r\nabc\r\n0\r\n\r\n"


async def test_expect_continue_comes_from_the_path(
    stage: raw_http.Harness,
) -> None:
    async def talk(reader, writer) -> None:
        head = await scripted_upstream.read_head(reader)
        size = int(head.values("Content-Length")[0])
        await reader.readexactly(size)
        writer.write(raw_http.OK_RESPONSE)

    stage.upstream.handler = talk
    for size in (10, 100_000):
        async with stage.connect(
            b"POST /b HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
            b"Content-Length: %d\r\n\r\n" % size
        ) as line:
            assert (
                await line.read_head()
            ).start_line == "HTTP/1.1 100 Continue"
            line.writer.write(b"x" * size)
            assert (await line.read_response())[1] == b"ok"


async def test_interim_answers_are_skipped(stage: raw_http.Harness) -> None:
    stage.respond_to_all(
        b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + raw_http.OK_RESPONSE
    )
    async with stage.connect(raw_http.GET_REQUEST) as line:
        assert (await line.read_response())[1] == b"ok"


async def test_an_answer_before_the_upload_ends(
    stage: raw_http.Harness,
) -> None:
    heads = []

    async def talk(reader, writer) -> None:
        heads.append(await scripted_upstream.read_head(reader))
        writer.write(b"HTTP/1.1 413 Big\r\nContent-Length: 3\r\n\r\nbig")
        await reader.read(1000)
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(reader.read(), 5)

    stage.upstream.handler = talk
    async with stage.connect(
        b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\nxx"
    ) as line:
        head, body = await line.read_response()
        assert (head.start_line, body) == ("HTTP/1.1 413 Big", b"big")
        # The rest of the upload must never be read as a request.
        line.writer.write(b"GET /smuggled HTTP/1.1\r\n\r\n")
        await asyncio.sleep(0.2)
    await stage.check_still_serves()
    assert [head.start_line for head in heads] == ["POST /b HTTP/1.1"]


@pytest.mark.parametrize("node", ["d1", "d2"])
async def test_a_caller_that_goes_ends_the_upstreams_work(
    stage: raw_http.Harness, node: str
) -> None:
    began, ended = asyncio.Event(), asyncio.Event()

    async def talk(reader, writer) -> None:
        await scripted_upstream.read_head(reader)
        began.set()
        assert await reader.read() == b""
        ended.set()

    stage.upstream.handler = talk
    async with stage.connect(raw_http.GET_REQUEST, node):
        await asyncio.wait_for(began.wait(), 10)
    # Well before the deadline would end it.
    await asyncio.wait_for(ended.wait(), 5)


@pytest.mark.parametrize("node", ["d1", "d2"])
async def test_a_caller_that_half_closes_gets_its_answer(
    stage: raw_http.Harness, node: str
) -> None:
    async def talk(reader, writer) -> None:
        await scripted_upstream.read_head(reader)
        await asyncio.sleep(0.7)
        writer.write(raw_http.OK_RESPONSE)

    stage.upstream.handler = talk
    async with stage.connect(raw_http.GET_REQUEST, node) as line:
        line.writer.write_eof()
        told = await line.read_all()
    assert told.endswith(b"\r\n\r\nok")


@pytest.mark.parametrize(
    "raw",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\npart",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nConte",
        b"garbage\r\n\r\n",
    ],
)
@pytest.mark.parametrize("node", ["d1", "d2"])
async def test_a_cut_answer_is_never_whole(
    stage: raw_http.Harness, node: str, raw: bytes
) -> None:
    stage.respond_once(raw)
    await stage.check_truncated_response(node)
    await stage.check_still_serves()


async def test_an_idempotent_answer_is_never_stitched(
    stage: raw_http.Harness,
) -> None:
    heads = []

    async def talk(reader, writer) -> None:
        heads.append(await scripted_upstream.read_head(reader))
        part = b"1111" if len(heads) == 1 else b"2222"
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n" + part)
        await writer.drain()
        await asyncio.sleep(0.1)

    stage.upstream.handler = talk
    async with stage.connect(raw_http.GET_REQUEST) as line:
        try:
            told = await line.read_all()
        except ConnectionError:
            told = b""
    assert not (b"1111" in told and b"2222" in told)


async def test_a_request_is_never_sent_again_by_the_library(
    stage: raw_http.Harness,
) -> None:
    """Fails when aiohttp's own resend is on (see build_session)."""
    heads = []

    async def talk(reader, writer) -> None:
        # The second request on a connection breaks it.
        heads.append(await scripted_upstream.read_head(reader))
        writer.write(raw_http.OK_RESPONSE)
        heads.append(await scripted_upstream.read_head(reader))

    stage.upstream.handler = talk
    put = b"PUT /b HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
    async with stage.connect(put) as line:
        await line.read_response()
        line.writer.write(put)
        assert (await line.read_refusal())[1] == "MAY_HAVE_RUN"
    assert len(heads) == 2


@pytest.mark.parametrize(
    ("raw", "expected"),
    [
        (b"nonsense\r\n\r\n", ("400", "NOT_RUN", "MALFORMED")),
        (
            b"GET / HTTP/1.1\r\nHost: h\r\nBad Name: 1\r\n\r\n",
            ("400", "NOT_RUN", "MALFORMED"),
        ),
        (
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n",
            ("400", "NOT_RUN", "MALFORMED"),
        ),
        (
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            ("400", "NOT_RUN", "MALFORMED"),
        ),
        (
            b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 20_000 + b"\r\n\r\n",
            ("431", "NOT_RUN", "HEADER_TOO_LARGE"),
        ),
        (
            b"GET / HTTP/1.1\r\nHost: h\r\nBurdockdeal-Rank: none\r\n\r\n",
            ("400", "NOT_RUN", "UNKNOWN_RANK"),
        ),
        (
            b"GET / HTTP/1.1\r\nHost: h\r\nBurdockdeal-Deadline-Ms: x\r\n\r\n",
            ("400", "NOT_RUN", "MALFORMED"),
        ),
        (
            b"DELETE / HTTP/1.1\r\nHost: h\r\n\r\n",
            ("404", "NOT_RUN", "NO_RULE"),
        ),
    ],
)
async def test_bad_requests_have_their_verdict(
    stage: raw_http.Harness, raw: bytes, expected: tuple[str, str, str]
) -> None:
    async with stage.connect(raw) as line:
        assert await line.read_refusal() == expected
    await stage.check_still_serves()


@pytest.mark.parametrize("rest", [b"", b"x" * 10])
async def test_a_body_that_falls_short_is_not_whole(
    stage: raw_http.Harness, rest: bytes
) -> None:
    whole = []

    async def talk(reader, writer) -> None:
        head = await scripted_upstream.read_head(reader)
        size = int(head.values("Content-Length")[0])
        whole.append(await reader.readexactly(size))
        writer.write(raw_http.OK_RESPONSE)

    stage.upstream.handler = talk
    for size in (50, 100_000):
        async with stage.connect(
            b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % size
            + rest
        ) as line:
            line.writer.write_eof()
            assert await line.read_all() == b""
    assert not whole
    await stage.check_still_serves()


async def test_garbage_at_the_peer_port(stage: raw_http.Harness) -> None:
    token = f"Burdockdeal-Peer-Token: {standins.PEER_TOKEN}\r\n".encode()
    start = b"POST /v1/peer/ping HTTP/1.1\r\nHost: h\r\n"
    envelope = b"Burdockdeal-Envelope: {}\r\n"
    end = b"Content-Length: 2\r\n\r\n{]"
    for raw, status in (
        (b"\x00\xff\r\n\r\n", "400"),
        (start + end, "401"),
        (start + token + end, "400"),
        (start + token + envelope + end, "400"),
        (start + envelope + end, "401"),
    ):
        async with stage.connect(raw, "d2", "peer") as line:
            told, verdict, _ = await line.read_refusal()
            assert (told, verdict) == (status, "NOT_RUN")
    await stage.check_still_serves()


async def test_answers_go_to_their_own_callers(
    stage: raw_http.Harness,
) -> None:
    async def talk(reader, writer) -> None:
        while True:
            head = await scripted_upstream.read_head(reader)
            path = head.start_line.split()[1].encode()
            # The later a request, the sooner its answer.
            await asyncio.sleep(0.002 * (50 - int(path[1:])))
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(path)
                + path
            )

    stage.upstream.handler = talk

    async def ask(number: int) -> None:
        path = b"/%d" % number
        async with stage.connect(
            b"GET " + path + b" HTTP/1.1\r\nHost: h\r\n\r\n"
        ) as line:
            if number % 5 == 0:
                return
            assert (await line.read_response())[1] == path

    for _ in range(3):
        await asyncio.gather(*(ask(number) for number in range(9)))


async def test_an_upstream_may_refuse(fleet: standins.Fleet) -> None:
    node = await fleet.add_node(standins.NodeSpec("d1", "shotton"))
    daemon = str(node.settings.listen.upstream)
    port = ports.free_port()
    async with scripted_upstream.run_scripted_upstream(
        "bookings", daemon, port
    ) as refusing:

        async def talk(reader, writer) -> None:
            head = await scripted_upstream.read_head(reader)
            assert head.values("Burdockdeal-Incarnation") == ["1"]
            writer.write(
                b"HTTP/1.1 503 Busy\r\nBurdockdeal-Verdict: NOT_RUN\r\n"
                b"Content-Length: 0\r\n\r\n"
            )
            await writer.drain()

        refusing.handler = talk
        await conftest.declare_basic_resources(fleet, node)
        url = node.caller_url + "/bookings"
        async with fleet.session.post(url, data=b"two rims") as answer:
            assert answer.headers["Burdockdeal-Verdict"] == "NOT_RUN"
            reason = answer.headers["Burdockdeal-Reason"]
            assert reason == "UPSTREAM_REFUSED"
