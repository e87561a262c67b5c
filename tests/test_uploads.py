"""Uploads are passed on as they come."""

import asyncio

from burdockdeal_standins import raw_http
from burdockdeal_standins import scripted_upstream


async def test_an_upload_is_not_held_in_memory(
    stage: raw_http.Harness,
) -> None:
    size, taken = 64_000_000, []

    async def talk(reader, writer) -> None:
        await scripted_upstream.read_head(reader)
        while sum(taken) < size:
            taken.append(len(await reader.read(1 << 20)))
            if len(taken) == 1:
                await asyncio.sleep(1)
        writer.write(raw_http.OK_RESPONSE)

    stage.upstream.handler = talk
    daemons = [stage.fleet.nodes[name].daemon.pid for name in ("d1", "d2")]
    before = [_resident_kb(pid) for pid in daemons]
    async with stage.connect(
        b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % size
    ) as line:
        chunk, sent = bytes(1_000_000), 0
        while sent < size:
            line.writer.write(chunk)
            await line.writer.drain()
            sent += len(chunk)
        assert (await line.read_response())[1] == b"ok"
    after = [_resident_kb(pid) for pid in daemons]
    print("upload: resident kB before", before, "after", after)
    assert all(a - b < 8_000 for a, b in zip(after, before, strict=True))


def _resident_kb(pid: int) -> int:
    with open(f"/proc/{pid}/status", encoding="ascii") as lines:
        # The greatest that it ever was.
        return next(
            int(line.split()[1]) for line in lines if line.startswith("VmHWM")
        )
