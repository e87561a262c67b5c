"""Answers that end with their connection, through real processes."""

import pytest

from burdockdeal_standins import raw_http

_UNFRAMED = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart"


@pytest.mark.parametrize("raw", [_UNFRAMED, b"HTTP/1.0 200 OK\r\n\r\npart"])
@pytest.mark.parametrize("node", ["d1", "d2"])
async def test_an_answer_that_ends_with_its_connection_is_passed_on(
    stage: raw_http.Harness, node: str, raw: bytes
) -> None:
    stage.respond_once(raw)
    async with stage.connect(raw_http.GET_REQUEST, node) as line:
        head = await line.read_head()
        assert head.start_line == "HTTP/1.1 200 OK"
        length = head.values("Content-Length")
        if length:
            assert await line.reader.readexactly(int(length[0])) == b"part"
        else:
            assert head.values("Transfer-Encoding") == ["chunked"]
            told = await line.reader.readuntil(b"0\r\n\r\n")
            assert told == b"4\r\npart\r\n0\r\n\r\n"
    await stage.check_still_serves()


@pytest.mark.parametrize("raw", [_UNFRAMED, b"HTTP/1.0 200 OK\r\n\r\npart"])
@pytest.mark.parametrize("node", ["d1", "d2"])
async def test_such_an_answer_is_never_whole_if_its_connection_is_reset(
    stage: raw_http.Harness, node: str, raw: bytes
) -> None:
    stage.respond_once(raw, reset=True)
    await stage.check_truncated_response(node)
    await stage.check_still_serves()
