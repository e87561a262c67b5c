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
