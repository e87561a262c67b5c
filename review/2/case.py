"""A large configuration: a change is in force seconds too late."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import harness  # noqa: E402

#: Routes that the operator adds; big_config adds 350 at a time.
ADDED_ROUTES = 1050
ZONES = ("shotton", "queensferry", "sealand")


async def ask(deployment, place, attempt):
    """Send one request and record its answer."""
    try:
        status, _, body = await harness.call(
            place.ports["outbound"],
            "GET",
            "/shop/1",
            fields={
                "Host": harness.SERVICE_HOST,
                "Attempt-Id": attempt,
                "Deadline-Ms": "1500",
            },
        )
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        status, body = repr(error), b""
    deployment.record.write(f"{attempt} at {place.name}: {status} {body}")
    return status, body


async def main(deployment, has_trouble):
    for number in range(9):
        service = "orders" if number % 2 else "bookings"
        await deployment.add(f"m{number}", ZONES[number % 3], service)
    services = ["orders", "bookings"]
    count = ADDED_ROUTES if has_trouble else 0
    added = [
        harness.make_route(f"added-{number}", f"/added-{number}/", "orders")
        for number in range(count)
    ]

    def make_routes(service, timeout_ms=1200):
        shop = harness.make_route(
            "shop", "/shop/", service, timeoutMs=timeout_ms
        )
        return [shop, *added]

    await deployment.configure(1, make_routes("orders"), services)
    for place in deployment.places.values():
        place.start_heartbeats()
    await deployment.wait_until_ready()
    await asyncio.sleep(9.0)
    broken = 0
    version = 1
    service = "orders"
    for number in range(3):
        version += 1
        await deployment.configure(
            version, make_routes(service, 1100 + number), services
        )
        await asyncio.sleep(1.0)
        version += 1
        old, service = service, "bookings" if service == "orders" else "orders"
        acknowledged_at = await deployment.configure(
            version, make_routes(service, 1100 + number), services
        )
        bound = acknowledged_at + harness.CONFIG_APPLY_S
        while deployment.record.now() < acknowledged_at + 8.0:
            for place in deployment.places.values():
                attempt = f"v{version}-{deployment.record.now():.3f}"
                sent_at = deployment.record.now()
                await ask(deployment, place, attempt)
                ran = [
                    worker.worker.service
                    for worker in deployment.places.values()
                    for run in worker.worker.runs
                    if run[1] == attempt
                ]
                if sent_at > bound and old in ran:
                    deployment.record.write(
                        f"{attempt} was run by {old}, "
                        f"{sent_at - acknowledged_at:.3f} s after the "
                        f"acknowledgement of r{version}"
                    )
                    broken += 1
            await asyncio.sleep(0.05)
    deployment.record.write(
        f"requests run by the old service after the bound: {broken}"
    )
    return harness.BROKEN if broken else harness.HELD


if __name__ == "__main__":
    harness.run(main, HERE)
