"""Concurrent handling of pipelined requests, with responses in order."""

import asyncio
import contextlib

from burdockdeal.serving.tests import pipelining


async def test_requests_are_handled_concurrently_and_answered_in_order() -> (
    None
):
    blocking = pipelining.BlockingHandler()
    async with pipelining.serve(blocking) as (_, port):
        reader, writer = await asyncio.open_connection(pipelining.HOST, port)
        writer.write(
            pipelining.build_request("/1")
            + pipelining.build_request("/2")
            + pipelining.build_request("/3")
        )
        await pipelining.wait_until(lambda: len(blocking.started) == 3)
        for path in ("/3", "/2", "/1"):
            blocking.release(path)
        async with asyncio.timeout(5):
            responses = [
                await pipelining.read_response(reader) for _ in range(3)
            ]
        assert responses == [(200, b"/1:0"), (200, b"/2:0"), (200, b"/3:0")]
        writer.close()


async def test_a_request_with_an_unsafe_method_waits_for_its_turn() -> None:
    blocking = pipelining.BlockingHandler()
    async with pipelining.serve(blocking) as (_, port):
        reader, writer = await asyncio.open_connection(pipelining.HOST, port)
        writer.write(
            pipelining.build_request("/1")
            + pipelining.build_request("/2", "POST", b"body")
        )
        await pipelining.wait_until(lambda: bool(blocking.started))
        await asyncio.sleep(0.05)
        assert blocking.started == ["/1"]
        blocking.release("/1")
        blocking.release("/2")
        async with asyncio.timeout(5):
            assert await pipelining.read_response(reader) == (200, b"/1:0")
            assert await pipelining.read_response(reader) == (200, b"/2:4")
        writer.close()


async def test_a_large_response_that_waits_for_its_turn_is_complete() -> None:
    blocking = pipelining.BlockingHandler()
    async with pipelining.serve(blocking) as (_, port):
        reader, writer = await asyncio.open_connection(pipelining.HOST, port)
        writer.write(
            pipelining.build_request("/1")
            + pipelining.build_request("/long")
            + pipelining.build_request("/3")
        )
        blocking.release("/long")
        blocking.release("/3")
        await asyncio.sleep(0.05)
        blocking.release("/1")
        async with asyncio.timeout(5):
            assert await pipelining.read_response(reader) == (200, b"/1:0")
            assert (
                len((await pipelining.read_response(reader))[1]) == 2_000_000
            )
            assert await pipelining.read_response(reader) == (200, b"/3:0")
        writer.close()


async def test_a_client_that_disconnects_cancels_all_its_requests() -> None:
    blocking = pipelining.BlockingHandler()
    async with pipelining.serve(blocking) as (_, port):
        _, writer = await asyncio.open_connection(pipelining.HOST, port)
        writer.write(
            pipelining.build_request("/1") + pipelining.build_request("/2")
        )
        await pipelining.wait_until(lambda: len(blocking.started) == 2)
        writer.transport.abort()
        await pipelining.wait_until(lambda: len(blocking.cancelled) == 2)


async def test_a_truncated_response_does_not_look_complete() -> None:
    blocking = pipelining.BlockingHandler()
    async with pipelining.serve(blocking) as (_, port):
        reader, writer = await asyncio.open_connection(pipelining.HOST, port)
        writer.write(
            pipelining.build_request("/cut") + pipelining.build_request("/2")
        )
        blocking.release("/cut")
        blocking.release("/2")
        received = b""
        with contextlib.suppress(ConnectionError):
            async with asyncio.timeout(5):
                while chunk := await reader.read(65536):
                    received += chunk
        assert b"/2:0" not in received
        assert received.count(b"HTTP/1.1") <= 1
        writer.close()


async def test_a_half_closed_client_still_gets_its_responses() -> None:
    blocking = pipelining.BlockingHandler()
    async with pipelining.serve(blocking) as (_, port):
        reader, writer = await asyncio.open_connection(pipelining.HOST, port)
        writer.write(
            pipelining.build_request("/1") + pipelining.build_request("/2")
        )
        writer.write_eof()
        await pipelining.wait_until(lambda: len(blocking.started) == 2)
        blocking.release("/1")
        blocking.release("/2")
        async with asyncio.timeout(5):
            received = await reader.read()
        final_responses = [
            chunk
            for chunk in received.split(b"HTTP/1.1 ")
            if chunk and not chunk.startswith(b"100")
        ]
        assert [chunk[-4:] for chunk in final_responses] == [b"/1:0", b"/2:0"]
        writer.close()


async def test_an_unread_body_is_not_parsed_as_requests() -> None:
    blocking = pipelining.BlockingHandler()
    async with pipelining.serve(blocking) as (_, port):
        reader, writer = await asyncio.open_connection(pipelining.HOST, port)
        body = b"GET /smuggled HTTP/1.1\r\n\r\n" * 4000
        blocking.release("/early")
        blocking.release("/2")
        writer.write(
            pipelining.build_request("/early", "POST", body)
            + pipelining.build_request("/2")
        )
        async with asyncio.timeout(5):
            assert await pipelining.read_response(reader) == (503, b"early")
            assert await pipelining.read_response(reader) == (200, b"/2:0")
        assert "/smuggled" not in blocking.started
        writer.close()


async def test_pending_requests_are_answered_while_the_server_closes() -> None:
    blocking = pipelining.BlockingHandler()
    async with pipelining.serve(blocking) as (served, port):
        reader, writer = await asyncio.open_connection(pipelining.HOST, port)
        writer.write(
            pipelining.build_request("/1") + pipelining.build_request("/2")
        )
        await pipelining.wait_until(lambda: len(blocking.started) == 2)
        served.begin_closing()
        blocking.release("/1")
        blocking.release("/2")
        async with asyncio.timeout(5):
            received = await reader.read()
        assert received.count(b"HTTP/1.1 200") == 2
        assert received.lower().count(b"connection: close") == 1
        assert received.endswith(b"/2:0")
        writer.close()


async def test_an_invalid_request_is_refused_in_its_turn() -> None:
    blocking = pipelining.BlockingHandler()
    async with pipelining.serve(blocking) as (_, port):
        reader, writer = await asyncio.open_connection(pipelining.HOST, port)
        writer.write(pipelining.build_request("/1"))
        await pipelining.wait_until(lambda: bool(blocking.started))
        writer.write(b"\x00\x01 no request\r\n\r\n")
        await asyncio.sleep(0.05)
        blocking.release("/1")
        async with asyncio.timeout(5):
            assert await pipelining.read_response(reader) == (200, b"/1:0")
            status, _ = await pipelining.read_response(reader)
            assert status == 400
            assert await reader.read() == b""
        writer.close()


async def test_invalid_bytes_after_a_request_do_not_cancel_it() -> None:
    blocking = pipelining.BlockingHandler()
    async with pipelining.serve(blocking) as (_, port):
        reader, writer = await asyncio.open_connection(pipelining.HOST, port)
        writer.write(
            pipelining.build_request("/1") + b"\x00\x01 no request\r\n\r\n"
        )
        await pipelining.wait_until(lambda: bool(blocking.started))
        blocking.release("/1")
        async with asyncio.timeout(5):
            assert await pipelining.read_response(reader) == (200, b"/1:0")
            status, _ = await pipelining.read_response(reader)
            assert status == 400
            assert await reader.read() == b""
        writer.close()


async def test_an_idle_connection_is_closed() -> None:
    blocking = pipelining.BlockingHandler()
    async with pipelining.serve(blocking, idle_s=0.1) as (_, port):
        reader, writer = await asyncio.open_connection(pipelining.HOST, port)
        blocking.release("/1")
        writer.write(pipelining.build_request("/1"))
        async with asyncio.timeout(5):
            assert await pipelining.read_response(reader) == (200, b"/1:0")
            assert await reader.read() == b""
        writer.close()
