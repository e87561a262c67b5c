"""A version moves a route to a service whose name has an underscore."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import lab  # noqa: E402

ZONES = ("shotton", "queensferry", "sealand")
WATCHED_S = 15.0
PER_S = 3.0


def build_route(service):
    return {
        "name": "r-orders", "host": lab.HOST, "pathPrefix": "/orders/",
        "kind": "safe", "timeoutMs": 1500, "targetLatencyMs": 600,
        "priority": 1, "service": service, "maxAttempts": 2,
    }


async def script(record, trouble):
    # The other spelling is that of the bench's own names.
    newer = "orders_2" if trouble else "orders2"
    async with lab.Lab(record) as deployment:
        for number in range(9):
            lab.Worker(deployment, deployment.add_machine(
                f"sidecar-{number + 1}", ZONES[number % 3],
                "orders" if number < 6 else newer))
        machines = list(deployment.machines.values())
        services = [{"name": name, "healthPath": "/health",
                     "maxConnections": 220} for name in ("orders", newer)]
        await deployment.configure(1, [build_route("orders")], services[:1])
        for machine in machines:
            await machine.worker.start()
            await deployment.start_daemon(machine, wait=False)
        await asyncio.sleep(8.0)
        await deployment.configure(3, [build_route(newer)], services)
        changed_at = deployment.now()
        sent, older = {}, {}

        async def ask(machine, attempt):
            sent[attempt] = deployment.now()
            status, _, _ = await lab.call(
                machine.ip, machine.port("outbound"), "GET",
                f"/orders/{attempt}", {"Host": lab.HOST,
                                       "Attempt-Id": attempt,
                                       "Deadline-Ms": "1500"})
            record.write(f"{sent[attempt]:8.3f} {attempt}: {status}\n")

        async def ask_often(machine):
            number = 0
            while deployment.now() < changed_at + WATCHED_S:
                number += 1
                await ask(machine, f"{machine.name}-{number}")
                await asyncio.sleep(1 / PER_S)

        await asyncio.gather(*map(ask_often, machines))
        bound_s = deployment.bounds["configApplyMs"] / 1000
        for machine in machines:
            if machine.service != "orders":
                continue
            for run in machine.worker.runs:
                if sent.get(run.attempt, 0.0) > changed_at + bound_s:
                    where = run.attempt.rpartition("-")[0]
                    older[where] = older.get(where, 0) + 1
        count = sum(older.values())
        record.write(
            f"requests sent later than {bound_s:g} s after the "
            f"acknowledgement and run by the old service: {count} of "
            f"{len(sent)}, by machine {older}\n")
        print(f"older {count} at {len(older)} machines")
        return count > 0


sys.exit(lab.main(script, FOLDER))
