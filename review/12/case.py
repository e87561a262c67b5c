"""Clients pipeline two safe requests; one worker breaks off some answers.

Counts connections that are closed before the answer to the first request,
which a sound worker is running, when the answer to the second breaks off.
"""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import lab  # noqa: E402

CLIENTS = 16
PLAYED_S = 70.0
#: `garble` on half of the workers: the largest share and x that
#: `fleetbench kinds` gives for answers that are broken off.
GARBLED_SHARE = 0.02
BODY_BYTES = 24_000
#: A pair is a look at a job, which takes longer, and one at an order.
PATHS = ("/job/", "/look/")
ROUTES = [
    {"name": f"r-{path[1:-1]}", "host": lab.HOST, "pathPrefix": path,
     "kind": "safe", "timeoutMs": 1500, "targetLatencyMs": 600,
     "priority": 1, "service": service, "maxAttempts": 2}
    for path, service in zip(PATHS, ("tracking", "orders"))
]


class Shop(lab.Worker):
    """A worker whose answers have a body of some length."""

    def __init__(self, *args, rng, work_s, garbles=False):
        super().__init__(*args)
        self.rng = rng
        self.most_s = work_s
        self.garbles = garbles
        self.answer = self.answer_shop

    async def answer_shop(self, run, reader, writer):
        await lab.read_body(reader, run.fields)
        await asyncio.sleep(self.rng.uniform(0.03, self.most_s))
        body = run.attempt.encode().ljust(BODY_BYTES, b".")
        writer.write(self.head(run, len(body)))
        if self.garbles and self.rng.random() < GARBLED_SHARE:
            run.ended = "broken off"
            writer.write(body[: BODY_BYTES - 2_000])
            await writer.drain()
            return False
        writer.write(body)
        await writer.drain()
        run.ended = "answered"
        return True


def format_request(path, attempt):
    return (
        f"GET {path}{attempt} HTTP/1.1\r\nHost: {lab.HOST}\r\n"
        f"Attempt-Id: {attempt}\r\nDeadline-Ms: 1500\r\n\r\n"
    ).encode()


class Client:
    """Keeps a connection and sends two requests at a time on it."""

    def __init__(self, deployment, entry, number, log):
        self.lab, self.entry, self.number = deployment, entry, number
        self.log = log
        self.sent = 0

    async def run(self, ends_at):
        streams, uses = None, 0
        while self.lab.now() < ends_at:
            if streams is None:
                streams = await asyncio.open_connection(
                    self.entry.ip, self.entry.port("outbound"))
                uses = 0
            pair = [f"c{self.number}n{self.sent + n}" for n in (0, 1)]
            self.sent += 2
            streams[1].write(b"".join(map(format_request, PATHS, pair)))
            for position, attempt in enumerate(pair):
                try:
                    status, fields, body = await lab.read_response(streams[0])
                except (OSError, EOFError) as error:
                    self.log.append((pair, position, uses, repr(error)))
                    streams[1].close()
                    streams = None
                    break
                assert fields.get("attempt-id") == attempt, "MIXED"
                if status != 200:
                    self.log.append((pair, position, uses, str(status)))
                elif fields.get("connection") == "close":
                    streams = None
            uses += 1
        if streams:
            streams[1].close()


async def script(record, trouble):
    rng = random.Random(1)
    async with lab.Lab(record) as deployment:
        entry = deployment.add_machine("side-1", "shotton", "tracking")
        other = deployment.add_machine("side-2", "sealand", "tracking")
        first = deployment.add_machine("side-3", "queensferry", "orders")
        second = deployment.add_machine("side-4", "sealand", "orders")
        sound = [Shop(deployment, each, rng=rng, work_s=0.4)
                 for each in (entry, other)]
        sound.append(Shop(deployment, first, rng=rng, work_s=0.12))
        faulty = Shop(deployment, second, rng=rng, work_s=0.12,
                      garbles=trouble)
        await deployment.configure(1, ROUTES, [
            {"name": name, "healthPath": "/health", "maxConnections": 220}
            for name in ("orders", "tracking")])
        for machine in deployment.machines.values():
            await machine.worker.start()
            await deployment.start_daemon(machine)
        # Machines count as in touch `contactMs` after their start.
        await asyncio.sleep(5.0)
        log = []
        ends_at = deployment.now() + PLAYED_S
        clients = [Client(deployment, entry, n, log) for n in range(CLIENTS)]
        await asyncio.gather(*(each.run(ends_at) for each in clients))
        runs = {run.attempt: (worker, run)
                for worker in (faulty, *sound) for run in worker.runs}
        broken = 0
        for pair, position, uses, what in log:
            places = [
                f"{name} by {runs[name][0].ident}: {runs[name][1].ended}"
                if name in runs else f"{name}: not run" for name in pair]
            is_lost = (
                position == 0 and uses > 0 and not what.isdecimal()
                and pair[0] in runs and runs[pair[0]][0] in sound
                and pair[1] in runs and runs[pair[1]][1].ended == "broken off"
            )
            broken += is_lost
            record.write(
                f"{'LOST' if is_lost else 'ends'} at answer {position + 1}, "
                f"after {uses} pairs: {what}; {'; '.join(places)}\n")
        record.write(
            f"requests sent {sum(each.sent for each in clients)}, run "
            f"{len(runs)}, by the faulty worker {len(faulty.runs)}, answers broken off "
            f"{sum(run.ended == 'broken off' for run in faulty.runs)}, "
            f"closed without the answer of a sound worker that was due "
            f"first: {broken} (more than 3 break LOST)\n")
        print(f"lost {broken}")
        return broken > 3


sys.exit(lab.main(script, FOLDER))
