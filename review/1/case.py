"""A planned stop cuts off a connection on which requests are pipelined."""

import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import harness  # noqa: E402

GRACE_S = 6.0
#: A request that is sent later than this after the SIGTERM is not excused by
#: a worker that is still at work on it in the last sixth of the grace time.
EXCUSED_UNTIL_S = 3.0
INTERVAL_S = 0.1
WORK_S = 0.3
DEADLINE_S = 1.5
CONNECTIONS = 4


class PipeliningClient:
    """Sends safe requests on one connection, some before the last answer.

    It sends as long as the daemon keeps the connection, and notes what was
    answered.
    """

    def __init__(self, place, name):
        self._place = place
        self._name = name
        self._record = place.record
        self._pending = []
        self._count = 0
        self.sent = {}
        self.answered = set()
        self.is_closing = False

    async def run(self, end):
        """Send until a time, until the connection ends, or is to end."""
        port = self._place.ports["outbound"]
        reader, writer = await asyncio.open_connection(harness.HOST, port)
        reading = asyncio.ensure_future(self._read(reader))
        try:
            while self._record.now() < end and not reading.done():
                if self.is_closing:
                    break
                self._send(writer)
                await asyncio.sleep(INTERVAL_S)
            await asyncio.wait({reading}, timeout=DEADLINE_S)
        except ConnectionError as error:
            self._record.write(f"{self._name}: {error!r}")
        finally:
            reading.cancel()
            writer.close()

    def _send(self, writer):
        attempt = f"{self._name}-{self._count}"
        self._count += 1
        writer.write(
            f"GET /shop/1 HTTP/1.1\r\nHost: {harness.SERVICE_HOST}\r\n"
            f"Attempt-Id: {attempt}\r\n"
            f"Deadline-Ms: {int(DEADLINE_S * 1000)}\r\n\r\n".encode()
        )
        self.sent[attempt] = self._record.now()
        self._pending.append(attempt)
        self._record.write(f"{attempt} is sent")

    async def _read(self, reader):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                start, fields = harness.parse_head(head)
                status = int(start.split(" ")[1])
                if status < 200:
                    continue
                await harness.read_body(reader, fields)
                attempt = self._pending.pop(0)
                self.answered.add(attempt)
                closes = fields.get("connection", "").lower() == "close"
                self._record.write(
                    f"{attempt} is answered: {status}"
                    f"{', and the connection closes' if closes else ''}"
                )
                if closes:
                    self.is_closing = True
                    return
        except (ConnectionError, asyncio.IncompleteReadError) as error:
            self._record.write(f"{self._name}: connection ends: {error!r}")


async def main(deployment, has_trouble):
    """Return whether a request that was passed on was cut off."""
    record = deployment.record
    for number in range(3):
        await deployment.add(
            f"m{number}", harness.ZONES[number], "orders", work_s=WORK_S
        )
    await deployment.configure(
        1,
        [harness.make_route("all", "/shop/", "orders", timeoutMs=1500)],
        ["orders"],
    )
    places = list(deployment.places.values())
    for place in places:
        place.start_heartbeats()
    await deployment.wait_until_ready()
    await asyncio.sleep(4.0)

    stopped = places[0]
    clients = [
        PipeliningClient(stopped, f"client{number}")
        for number in range(CONNECTIONS)
    ]
    end = record.now() + 2.0 + GRACE_S
    runs = [asyncio.ensure_future(client.run(end)) for client in clients]
    await asyncio.sleep(1.0)
    stopped_at = record.now()
    if has_trouble:
        stopped.signal(signal.SIGTERM)
    await asyncio.gather(*runs)

    ran = {run.attempt for place in places for run in place.worker.runs}
    cut = [
        (attempt, sent_at - stopped_at)
        for client in clients
        for attempt, sent_at in client.sent.items()
        if attempt in ran
        and attempt not in client.answered
        and sent_at > stopped_at + EXCUSED_UNTIL_S
    ]
    for attempt, after_s in cut:
        record.write(
            f"{attempt}, sent {after_s:.3f} s after the SIGTERM and run by a "
            "worker, was cut off"
        )
    total = sum(len(client.sent) for client in clients)
    record.write(
        f"{len(cut)} of {total} requests were passed on and cut off, not "
        "excused by a worker at work"
    )
    return harness.BROKEN if cut else harness.HELD


if __name__ == "__main__":
    harness.run(main, HERE)
