"""The last daemon that is left ends with an IndexError.

Three machines. One loses its power for good, the others are restarted in
turn. The first one to be restarted ends by itself while the second one is
stopping, with the requests of its clients in progress.
"""

import asyncio
import os
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import stage as stages

CLIENTS = 8
WORK_S = 0.3
#: Seconds from the loss of power to the restarts, from the restart of the
#: first machine to that of the second, and from there to the end.
LOST_FOR_S = 7.0
ROLL_GAP_S = 5.5
WATCH_S = 8.0


class Client:
    """Sends one unsafe request after another on a kept connection."""

    def __init__(self, record, machine, name):
        self.record = record
        self.machine = machine
        self.name = name
        #: The requests that were on a kept connection which was closed
        #: without an answer.
        self.closed = []
        self.answered = 0

    async def run(self, ends_at):
        number = 0
        while self.record.now() < ends_at:
            try:
                reader, writer = await asyncio.open_connection(
                    stages.HOST, self.machine.ports["outbound"]
                )
            except OSError:
                await asyncio.sleep(0.1)
                continue
            on_connection = 0
            try:
                while self.record.now() < ends_at:
                    number += 1
                    attempt = f"{self.name}-{number}"
                    if not await self.ask(reader, writer, attempt):
                        break
                    on_connection += 1
            except (OSError, asyncio.IncompleteReadError) as error:
                self.record.write(
                    f"{attempt}: the connection is closed without an answer "
                    f"({type(error).__name__})"
                )
                if on_connection:
                    self.closed.append(attempt)
            except TimeoutError:
                self.record.write(f"{attempt}: no answer by the deadline")
            finally:
                writer.close()

    async def ask(self, reader, writer, attempt):
        """Return whether the connection stays open."""
        body = b"a booking"
        head = stages.build_request("POST", "/book/", attempt, 1_500, len(body))
        writer.write(head + body)
        async with asyncio.timeout(1.5):
            start, fields = await stages.read_message(reader)
            await stages.read_body(reader, fields)
        self.answered += 1
        return fields.get("connection", "").lower() != "close"


async def main(stage, has_trouble):
    record = stage.record
    machines = [
        await stage.add(
            f"sidecar-{zone}-1",
            zone,
            stages.Worker(record, f"i-{zone}", "bookings", WORK_S),
        )
        for zone in stages.ZONES
    ]
    lost, first, second = machines
    routes = [
        stages.make_route("book", "/book/", "bookings", "unsafe")
    ]
    await stage.configure(5, routes, ["bookings"])
    await stage.wait_until_ready()
    await asyncio.sleep(6.0)

    if has_trouble:
        # A stopped process answers nothing, like a machine without power.
        record.write(f"{lost.name} loses its power for good")
        lost.beating.cancel()
        lost.worker.server.close()
        lost.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(LOST_FOR_S)

    record.write(f"{first.name} gets SIGTERM")
    first.process.send_signal(signal.SIGTERM)
    await first.process.wait()
    record.write(f"{first.name} has ended with {first.process.returncode}")
    await first.start()
    started_at = record.now()
    await stage.wait_until(first.is_ready, first.name)
    record.write(f"{first.name} is ready")

    process = first.process
    ends_at = started_at + ROLL_GAP_S + WATCH_S
    clients = [Client(record, first, f"c{n}") for n in range(CLIENTS)]
    running = [asyncio.ensure_future(each.run(ends_at)) for each in clients]
    await asyncio.sleep(started_at + ROLL_GAP_S - record.now())
    record.write(f"{second.name} gets SIGTERM")
    second.process.send_signal(signal.SIGTERM)
    await second.process.wait()
    record.write(f"{second.name} has ended with {second.process.returncode}")
    await second.start()
    await asyncio.gather(*running)

    ran = {attempt for machine in machines for _, attempt, _ in
           machine.worker.runs}
    cut = [
        attempt
        for client in clients
        for attempt in client.closed
        if attempt in ran
    ]
    record.write(
        f"answered {sum(client.answered for client in clients)}; run by a "
        f"sound worker and closed without an answer {len(cut)}: {cut}"
    )
    record.write(
        f"{first.name}, which nobody stopped after its restart: exit code "
        f"{process.returncode}"
    )
    last_lines = first.log.read_text(errors="replace").splitlines()
    for line in last_lines:
        if "daemon_crashed" in line:
            record.write(f"its log: {line}")
    has_crashed = process.returncode is not None
    return stages.BROKEN if has_crashed and len(cut) > 3 else stages.HELD


#: With TROUBLE=0 the case does the same without the disruption.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

stages.run(main, __file__, HAS_TROUBLE)
