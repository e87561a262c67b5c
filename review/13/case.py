"""The operator changes the priority of routes in quick succession."""

import asyncio
import collections
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import lab  # noqa: E402

ZONES = ("shotton", "queensferry", "sealand")
SERVICES = ("orders", "bookings", "tracking")
#: Requests a second of each service, as on colyn-mesh.
RATES = {"orders": 38.0, "bookings": 13.5, "tracking": 14.3}
WORK_S = {"orders": 0.15, "bookings": 0.2, "tracking": 0.06}
KINDS = {"orders": "safe", "bookings": "unsafe", "tracking": "safe"}
#: `config_storm`: a change each 0.2 s for 4.3 s. The site's days have 0.06 s
#: to 0.36 s, and up to 4.32 s.
GAP_S, STORM_S = 0.2, 4.3
#: `burst`: 2.3 times the traffic around each storm, as on the day trouble-1.
BURST, BURST_S = 2.3, 6.9
PLAYED_S = 34.0
STORMS = (5.0, 15.0, 25.0)
#: Priorities of each service's route in the two kinds of versions.
PRIORITIES = ({"orders": 1, "bookings": 1, "tracking": 0},
              {"orders": 2, "bookings": 0, "tracking": 1})


def build_routes(priorities):
    return [
        {"name": f"r-{service}", "host": lab.HOST,
         "pathPrefix": f"/{service}/", "kind": KINDS[service],
         "timeoutMs": 1500, "targetLatencyMs": 600 + 100 * number,
         "priority": priorities[service], "service": service,
         "maxAttempts": 2}
        for number, service in enumerate(SERVICES)
    ]


class Crowd:
    def __init__(self, deployment, rng):
        self.lab, self.rng = deployment, rng
        self.answers = {}

    async def play(self, service, ends_at):
        machines = list(self.lab.machines.values())
        asked, next_at = set(), self.lab.now()
        began = next_at
        while self.lab.now() < ends_at:
            rate = RATES[service]
            if any(at - 1 <= next_at - began < at - 1 + BURST_S
                   for at in STORMS):
                rate *= BURST
            next_at += self.rng.expovariate(rate)
            await asyncio.sleep(max(0.0, next_at - self.lab.now()))
            number = len(self.answers)
            attempt = f"{service}-{number}"
            self.answers[attempt] = None
            asked.add(asyncio.ensure_future(
                self.ask(self.rng.choice(machines), service, attempt)))
            asked = {task for task in asked if not task.done()}
        await asyncio.gather(*asked)

    async def ask(self, machine, service, attempt):
        method = "POST" if KINDS[service] == "unsafe" else "GET"
        fields = {"Host": lab.HOST, "Attempt-Id": attempt,
                  "Deadline-Ms": "1500"}
        sent = self.lab.now()
        try:
            status, _, body = await asyncio.wait_for(lab.call(
                machine.ip, machine.port("outbound"), method,
                f"/{service}/{attempt}", fields), 3.0)
        except (OSError, EOFError, asyncio.TimeoutError) as error:
            status, body = 0, repr(error).encode()
        self.answers[attempt] = (sent, machine.name, status, body[:60])


async def script(record, trouble):
    rng = random.Random(1)
    async with lab.Lab(record) as deployment:
        for number in range(9):
            machine = deployment.add_machine(
                f"sidecar-{number + 1}", ZONES[number % 3],
                SERVICES[number // 3])
            lab.Worker(deployment, machine, work_s=WORK_S[machine.service])
        services = [{"name": name, "healthPath": "/health",
                     "maxConnections": 220} for name in SERVICES]
        await deployment.configure(1, build_routes(PRIORITIES[0]), services)
        for machine in deployment.machines.values():
            await machine.worker.start()
            await deployment.start_daemon(machine, wait=False)
        await asyncio.sleep(8.0)
        crowd = Crowd(deployment, rng)
        began = deployment.now()
        playing = asyncio.gather(*(
            crowd.play(service, began + PLAYED_S) for service in SERVICES))
        version = 1
        for storm_at in STORMS:
            await asyncio.sleep(began + storm_at - deployment.now())
            while deployment.now() < began + storm_at + STORM_S:
                version += rng.randint(1, 3)
                if trouble:
                    turn = rng.random() < 0.5
                    await deployment.configure(
                        version, build_routes(PRIORITIES[turn]), services)
                await asyncio.sleep(GAP_S)
        await playing
        statuses = collections.Counter(
            each[2] for each in crowd.answers.values())
        denied = [(name, *each) for name, each in crowd.answers.items()
                  if each[2] in (400, 401, 403, 404)]
        for name, sent, machine, status, body in denied:
            record.write(f"{sent:8.3f} {name} at {machine}: {status} "
                         f"{body!r}\n")
        most = 5 + len(crowd.answers) / 500
        record.write(f"sent {len(crowd.answers)}, answers by status "
                     f"{dict(statuses)}; denied {len(denied)}, bound "
                     f"{most:.1f}\n")
        print(f"denied {len(denied)} bound {most:.1f}")
        return len(denied) > most


sys.exit(lab.main(script, FOLDER))
