"""Uploads are streamed, not buffered."""

import asyncio

import pytest

from burdockdeal_standins import raw_http
from burdockdeal_standins import scripted_upstream


async def test_upload_is_not_held_in_memory(
    harness: raw_http.Harness,
) -> None:
    size, chunk_sizes = 64_000_000, []

    async def handle(reader, writer) -> None:
        await scripted_upstream.read_head(reader)
        while sum(chunk_sizes) < size:
            chunk_sizes.append(len(await reader.read(1 << 20)))
            if len(chunk_sizes) == 1:
                await asyncio.sleep(1)
        writer.write(raw_http.OK_RESPONSE)

    harness.upstream.handler = handle
    daemons = [harness.fleet.nodes[name].daemon.pid for name in ("d1", "d2")]
    before = [_peak_resident_kb(pid) for pid in daemons]
    async with harness.connect(
        b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % size
    ) as connection:
        chunk, sent = bytes(1_000_000), 0
        while sent < size:
            connection.writer.write(chunk)
            await connection.writer.drain()
            sent += len(chunk)
        assert (await connection.read_response())[1] == b"ok"
    after = [_peak_resident_kb(pid) for pid in daemons]
    print("upload: resident kB before", before, "after", after)
    assert all(a - b < 8_000 for a, b in zip(after, before, strict=True))


def _peak_resident_kb(pid: int) -> int:
    with open(f"/proc/{pid}/status", encoding="ascii") as lines:
        # VmHWM is the peak resident set size.
        return next(
            int(line.split()[1]) for line in lines if line.startswith("VmHWM")
        )


@pytest.mark.parametrize("node", ["d1", "d2"])
async def test_connection_is_reused_after_an_early_response(
    harness: raw_http.Harness, node: str
) -> None:
    """The upstream responds while the daemon waits for more of the upload.

    What forwards the upload and what discards the rest of it were both
    reading it then, and the connection was left without a response.
    """

    async def handle(reader, writer) -> None:
        while True:
            head = await scripted_upstream.read_head(reader)
            if head.start_line.startswith("POST"):
                await reader.readexactly(70_000)
            writer.write(raw_http.OK_RESPONSE)

    harness.upstream.handler = handle
    size, first = 200_000, 70_000
    async with harness.connect(
        b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % size
        + bytes(first),
        node,
    ) as connection:
        assert (await connection.read_response())[1] == b"ok"
        await asyncio.sleep(0.3)
        connection.writer.write(bytes(size - first) + raw_http.GET_REQUEST)
        assert (await connection.read_response())[1] == b"ok"
    for name in ("d1", "d2"):
        assert "event=library" not in harness.fleet.read_log(name)
