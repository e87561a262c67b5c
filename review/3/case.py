"""A large configuration: a change is in force seconds too late."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import harness  # noqa: E402

#: Routes that the operator adds: two changes of 350 each (`big_config`).
ADDED_ROUTES = 700
MACHINES = 12
SERVICES = ("orders", "bookings")
#: Seconds between the two changes of a pair, and after each pair.
GAP_S = 1.0
AFTER_S = 8.0
PAIRS = 4
INTERVAL_S = 0.05


class Operator:
    """Moves the route of the clients from one service to the other.

    Each move comes a second after another change, of a timeout.
    """

    def __init__(self, deployment, added_count):
        self._deployment = deployment
        self._added = [
            harness.make_route(
                f"added-route-{number}", f"/added-{number}/", "orders"
            )
            for number in range(added_count)
        ]
        self._version = 0
        self.service = SERVICES[0]

    async def write(self, timeout_ms):
        """Write the next version; return the time of its acknowledgement."""
        self._version += 1
        shop = harness.make_route(
            "shop", "/shop/", self.service, timeoutMs=timeout_ms
        )
        return await self._deployment.configure(
            self._version, [shop, *self._added], SERVICES
        )


async def main(deployment, has_trouble):
    """Return whether a request was run by the old service too late."""
    record = deployment.record
    for number in range(MACHINES):
        await deployment.add(
            f"m{number}", harness.ZONES[number % 3], SERVICES[number % 2]
        )
    operator = Operator(deployment, ADDED_ROUTES if has_trouble else 0)
    await operator.write(1200)
    places = list(deployment.places.values())
    for place in places:
        place.start_heartbeats()
    await deployment.wait_until_ready()
    await asyncio.sleep(10.0)

    late = []
    count = 0
    for pair in range(PAIRS):
        await operator.write(1100 + pair)
        await asyncio.sleep(GAP_S)
        old = operator.service
        operator.service = SERVICES[1 - SERVICES.index(old)]
        acknowledged_at = await operator.write(1100 + pair)
        bound = acknowledged_at + harness.CONFIG_APPLY_S
        asks = []
        while record.now() < acknowledged_at + AFTER_S:
            count += 1
            place = places[count % MACHINES]
            attempt = f"request-{count}"
            asks.append(asyncio.ensure_future(harness.ask(place, attempt)))
            await asyncio.sleep(INTERVAL_S)
        answers = await asyncio.gather(*asks)
        for answer in answers:
            if answer.sent_at > bound and f" {old} ".encode() in answer.body:
                after_s = answer.sent_at - acknowledged_at
                late.append(after_s)
                record.write(
                    f"run by the old service, sent {after_s:.3f} s after "
                    f"the acknowledgement: {answer.body.decode()}"
                )
    record.write(
        f"{len(late)} of {count} requests were run by the old service "
        f"although sent later than configApplyMs after the acknowledgement, "
        f"the latest {max(late, default=0):.3f} s after it"
    )
    return harness.BROKEN if late else harness.HELD


if __name__ == "__main__":
    harness.run(main, HERE)
