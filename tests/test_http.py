"""HTTP semantics on the whole path: caller, entry, owner, upstream."""

import asyncio
import contextlib

import conftest
import pytest

from burdockdeal.serving import short_responses
from burdockdeal_standins import fleet as standins
from burdockdeal_standins import ports
from burdockdeal_standins import raw_http
from burdockdeal_standins import scripted_upstream


async def test_responses_without_body(harness: raw_http.Harness) -> None:
    raw = b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\nX-A: 1\r\n\r\n"
    harness.respond_to_all(raw)
    async with harness.connect(
        raw_http.GET_REQUEST.replace(b"GET", b"HEAD", 1)
    ) as connection:
        head = await connection.read_head()
        assert head.values("Content-Length") == ["7"]
        harness.respond_to_all(raw_http.OK_RESPONSE)
        connection.writer.write(raw_http.GET_REQUEST)
        # No bytes may come between the first head and the next response.
        assert (await connection.read_response())[1] == b"ok"
    for status in (b"204 No Content", b"304 Not Modified"):
        harness.respond_to_all(b"HTTP/1.1 " + status + b"\r\nETag: x\r\n\r\n")
        async with harness.connect(
            raw_http.GET_REQUEST + raw_http.GET_REQUEST
        ) as connection:
            for _ in range(2):
                head = await connection.read_head()
                assert head.start_line.encode() == b"HTTP/1.1 " + status
                assert head.values("ETag") == ["x"]
                assert not head.values("Transfer-Encoding")
    harness.respond_to_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    async with harness.connect(raw_http.GET_REQUEST) as connection:
        assert (await connection.read_response())[1] == b""


async def test_end_to_end_and_hop_by_hop_headers(
    harness: raw_http.Harness,
) -> None:
    heads = harness.respond_to_all(
        b"HTTP/1.1 200 OK\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\n"
        b"Connection: x-hop\r\nX-Hop: 1\r\nContent-Length: 2\r\n\r\nok"
    )
    async with harness.connect(
        b"GET /a%20b?q=%C3 HTTP/1.1\r\nHost: here\r\nX-Many: 1\r\nX-Many: 2"
        b"\r\nConnection: x-one\r\nConnection: x-two\r\nX-One: 1\r\n"
        b"X-Two: 2\r\nTE: trailers\r\nBurdockdeal-Request-Id: mine\r\n\r\n"
    ) as connection:
        answer, _ = await connection.read_response()
    assert answer.values("Set-Cookie") == ["a=1", "b=2"]
    assert not answer.values("X-Hop")
    assert heads[0].start_line == "GET /a%20b?q=%C3 HTTP/1.1"
    assert heads[0].values("X-Many") == ["1", "2"]
    assert heads[0].values("Host") == ["here"]
    for name in ("X-One", "X-Two", "TE"):
        assert not heads[0].values(name), name
    ids = heads[0].values("Burdockdeal-Request-Id")
    assert ids == answer.values("Burdockdeal-Request-Id") != ["mine"]


async def test_chunked_bodies_in_both_directions(
    harness: raw_http.Harness,
) -> None:
    seen = []

    async def handle(reader, writer) -> None:
        head = await scripted_upstream.read_head(reader)
        body = b""
        while not body.endswith(b"0\r\n\r\n"):
            body += await reader.read(65536)
        seen.append((head, body))
        writer.write(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"
        )
        # A body that ends sooner is relayed with its length.
        await asyncio.sleep(short_responses.UNKNOWN_LENGTH_WAIT_S + 0.2)
        writer.write(b"1\r\nc\r\n0\r\nX-Trailer: 1\r\n\r\n")
        await reader.read()

    harness.upstream.handler = handle
    async with harness.connect(
        b"POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
        b"\r\n3\r\nabc\r\n0\r\nX-Sum: 1\r\n\r\n"
    ) as connection:
        head = await connection.read_head()
        assert head.values("Transfer-Encoding") == ["chunked"]
        body = await connection.reader.readuntil(b"0\r\n\r\n")
        # A proxy may drop trailers, and aiohttp does.
        assert body == b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
    assert seen[0][1] == b"3\r\nabc\r\n0\r\n\r\n"


async def test_expect_continue_is_answered(
    harness: raw_http.Harness,
) -> None:
    async def handle(reader, writer) -> None:
        head = await scripted_upstream.read_head(reader)
        size = int(head.values("Content-Length")[0])
        await reader.readexactly(size)
        writer.write(raw_http.OK_RESPONSE)

    harness.upstream.handler = handle
    for size in (10, 100_000):
        async with harness.connect(
            b"POST /b HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
            b"Content-Length: %d\r\n\r\n" % size
        ) as connection:
            assert (
                await connection.read_head()
            ).start_line == "HTTP/1.1 100 Continue"
            connection.writer.write(b"x" * size)
            assert (await connection.read_response())[1] == b"ok"


async def test_interim_responses_are_skipped(
    harness: raw_http.Harness,
) -> None:
    harness.respond_to_all(
        b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + raw_http.OK_RESPONSE
    )
    async with harness.connect(raw_http.GET_REQUEST) as connection:
        assert (await connection.read_response())[1] == b"ok"


async def test_response_before_end_of_upload(
    harness: raw_http.Harness,
) -> None:
    heads = []

    async def handle(reader, writer) -> None:
        heads.append(await scripted_upstream.read_head(reader))
        writer.write(b"HTTP/1.1 413 Big\r\nContent-Length: 3\r\n\r\nbig")
        await reader.read(1000)
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(reader.read(), 5)

    harness.upstream.handler = handle
    async with harness.connect(
        b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\nxx"
    ) as connection:
        head, body = await connection.read_response()
        assert (head.start_line, body) == ("HTTP/1.1 413 Big", b"big")
        # The rest of the upload must never be parsed as a request.
        connection.writer.write(b"GET /smuggled HTTP/1.1\r\n\r\n")
        await asyncio.sleep(0.2)
    await harness.check_still_serves()
    assert [head.start_line for head in heads] == ["POST /b HTTP/1.1"]


@pytest.mark.parametrize("node", ["d1", "d2"])
async def test_caller_disconnect_cancels_upstream_request(
    harness: raw_http.Harness, node: str
) -> None:
    started, ended = asyncio.Event(), asyncio.Event()

    async def handle(reader, writer) -> None:
        await scripted_upstream.read_head(reader)
        started.set()
        assert await reader.read() == b""
        ended.set()

    harness.upstream.handler = handle
    async with harness.connect(raw_http.GET_REQUEST, node):
        await asyncio.wait_for(started.wait(), 10)
    # The limit is well below the request's deadline.
    await asyncio.wait_for(ended.wait(), 5)


@pytest.mark.parametrize("node", ["d1", "d2"])
async def test_half_closed_caller_gets_response(
    harness: raw_http.Harness, node: str
) -> None:
    async def handle(reader, writer) -> None:
        await scripted_upstream.read_head(reader)
        await asyncio.sleep(0.7)
        writer.write(raw_http.OK_RESPONSE)

    harness.upstream.handler = handle
    async with harness.connect(raw_http.GET_REQUEST, node) as connection:
        connection.writer.write_eof()
        received = await connection.read_all()
    assert received.endswith(b"\r\n\r\nok")


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
async def test_truncated_response_never_looks_complete(
    harness: raw_http.Harness, node: str, raw: bytes
) -> None:
    harness.respond_once(raw)
    await harness.check_truncated_response(node)
    await harness.check_still_serves()


async def test_response_is_never_joined_from_two_attempts(
    harness: raw_http.Harness,
) -> None:
    heads = []

    async def handle(reader, writer) -> None:
        heads.append(await scripted_upstream.read_head(reader))
        part = b"1111" if len(heads) == 1 else b"2222"
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n" + part)
        await writer.drain()
        await asyncio.sleep(0.1)

    harness.upstream.handler = handle
    request = raw_http.GET_REQUEST.replace(
        b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"
    )
    async with harness.connect(request) as connection:
        received = await connection.read_all()
    assert b"1111" not in received
    assert b"2222" not in received
    assert b'"reason":"BROKEN_CONNECTION"' in received


async def test_http_library_never_resends_requests(
    harness: raw_http.Harness,
) -> None:
    """Fails if aiohttp resends requests by itself (see build_session)."""
    heads = []

    async def handle(reader, writer) -> None:
        # The second request on a connection gets no response.
        heads.append(await scripted_upstream.read_head(reader))
        writer.write(raw_http.OK_RESPONSE)
        heads.append(await scripted_upstream.read_head(reader))

    harness.upstream.handler = handle
    put = b"PUT /b HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
    async with harness.connect(put) as connection:
        await connection.read_response()
        connection.writer.write(put)
        assert (await connection.read_refusal())[1] == "MAY_HAVE_RUN"
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
async def test_invalid_requests_are_refused_with_verdict(
    harness: raw_http.Harness, raw: bytes, expected: tuple[str, str, str]
) -> None:
    async with harness.connect(raw) as connection:
        assert await connection.read_refusal() == expected
    await harness.check_still_serves()


@pytest.mark.parametrize("rest", [b"", b"x" * 10])
async def test_incomplete_request_body_is_not_forwarded_as_complete(
    harness: raw_http.Harness, rest: bytes
) -> None:
    bodies = []

    async def handle(reader, writer) -> None:
        head = await scripted_upstream.read_head(reader)
        size = int(head.values("Content-Length")[0])
        bodies.append(await reader.readexactly(size))
        writer.write(raw_http.OK_RESPONSE)

    harness.upstream.handler = handle
    for size in (50, 100_000):
        async with harness.connect(
            b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % size
            + rest
        ) as connection:
            connection.writer.write_eof()
            assert await connection.read_all() == b""
    assert not bodies
    await harness.check_still_serves()


async def test_invalid_requests_at_peer_port(
    harness: raw_http.Harness,
) -> None:
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
        async with harness.connect(raw, "d2", "peer") as connection:
            received, verdict, _ = await connection.read_refusal()
            assert (received, verdict) == (status, "NOT_RUN")
    await harness.check_still_serves()


async def test_responses_reach_the_right_callers(
    harness: raw_http.Harness,
) -> None:
    async def handle(reader, writer) -> None:
        while True:
            head = await scripted_upstream.read_head(reader)
            path = head.start_line.split()[1].encode()
            # Later requests are answered sooner, so that responses cross.
            await asyncio.sleep(0.002 * (50 - int(path[1:])))
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(path)
                + path
            )

    harness.upstream.handler = handle

    async def ask(number: int) -> None:
        path = b"/%d" % number
        async with harness.connect(
            b"GET " + path + b" HTTP/1.1\r\nHost: h\r\n\r\n"
        ) as connection:
            if number % 5 == 0:
                return
            assert (await connection.read_response())[1] == path

    for _ in range(3):
        await asyncio.gather(*(ask(number) for number in range(9)))


async def test_upstream_refusal(fleet: standins.Fleet) -> None:
    node = await fleet.add_node(standins.NodeSpec("d1", "shotton"))
    daemon = str(node.settings.listen.upstream)
    port = ports.free_port()
    async with scripted_upstream.run_scripted_upstream(
        "bookings", daemon, port
    ) as refusing:

        async def handle(reader, writer) -> None:
            head = await scripted_upstream.read_head(reader)
            assert head.values("Burdockdeal-Incarnation") == ["1"]
            writer.write(
                b"HTTP/1.1 503 Busy\r\nBurdockdeal-Verdict: NOT_RUN\r\n"
                b"Content-Length: 0\r\n\r\n"
            )
            await writer.drain()

        refusing.handler = handle
        await conftest.declare_basic_resources(fleet, node)
        url = node.caller_url + "/bookings"
        async with fleet.session.post(url, data=b"two rims") as answer:
            assert answer.headers["Burdockdeal-Verdict"] == "NOT_RUN"
            reason = answer.headers["Burdockdeal-Reason"]
            assert reason == "UPSTREAM_REFUSED"
