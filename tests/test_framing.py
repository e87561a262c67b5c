"""Responses delimited by connection close, through real processes."""

import pytest

from burdockdeal_standins import raw_http

_CLOSE_DELIMITED = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart"


@pytest.mark.parametrize(
    "raw", [_CLOSE_DELIMITED, b"HTTP/1.0 200 OK\r\n\r\npart"]
)
@pytest.mark.parametrize("node", ["d1", "d2"])
async def test_response_delimited_by_connection_close_is_forwarded(
    harness: raw_http.Harness, node: str, raw: bytes
) -> None:
    harness.respond_once(raw)
    async with harness.connect(raw_http.GET_REQUEST, node) as connection:
        head = await connection.read_head()
        assert head.start_line == "HTTP/1.1 200 OK"
        length = head.values("Content-Length")
        if length:
            assert (
                await connection.reader.readexactly(int(length[0])) == b"part"
            )
        else:
            assert head.values("Transfer-Encoding") == ["chunked"]
            body = await connection.reader.readuntil(b"0\r\n\r\n")
            assert body == b"4\r\npart\r\n0\r\n\r\n"
    await harness.check_still_serves()


@pytest.mark.parametrize(
    "raw", [_CLOSE_DELIMITED, b"HTTP/1.0 200 OK\r\n\r\npart"]
)
@pytest.mark.parametrize("node", ["d1", "d2"])
async def test_connection_reset_never_completes_such_a_response(
    harness: raw_http.Harness, node: str, raw: bytes
) -> None:
    harness.respond_once(raw, reset=True)
    await harness.check_truncated_response(node)
    await harness.check_still_serves()


@pytest.mark.parametrize(
    "part",
    [
        b"HTTP/1.1 200 OK",
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 200 OK\r\nConnection: close\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"2\r\nok\r\n0\r\n",
    ],
)
@pytest.mark.parametrize("node", ["d1", "d2"])
async def test_a_head_that_breaks_off_is_no_response(
    harness: raw_http.Harness, node: str, part: bytes
) -> None:
    """Guards against a success with an empty or short body."""
    harness.respond_once(part)
    async with harness.connect(raw_http.GET_REQUEST, node) as connection:
        received = b""
        while not received.endswith((b"}", b"ok\r\n")):
            chunk = await connection.reader.read(65536)
            if not chunk:
                break
            received += chunk
    if b"200 OK" in received:
        # A body in chunks may have begun; it must not have ended.
        assert part.endswith(b"0\r\n")
        assert not received.endswith(b"0\r\n\r\n")
        assert b"Content-Length" not in received
    else:
        assert b'"reason":"BROKEN_CONNECTION"' in received
    await harness.check_still_serves()
